import { Random } from "@mustardweir/kernel";
import {
  type DesiredState,
  type JobQueue,
  NO_RESOURCES,
  plainStage,
  type Resources,
  type StagedJobSpec,
  type StageSpec,
  type WorkerInfo,
  WorkerState,
} from "@mustardweir/model";

const HOST = "a.example";
const SMALL_POOL = "small";
const LARGE_POOL = "large";
const SMALL_WORKERS = 177;
const LARGE_WORKERS = 68;
const RACK_WORKERS = 8;
const TEAMS = 6;
const PERMIT_VALID_MS = 2_000;

const SMALL: Resources = {
  ...NO_RESOURCES,
  cpuMillis: 16_000,
  memoryMb: 32_000,
};
const LARGE: Resources = {
  ...NO_RESOURCES,
  cpuMillis: 128_000,
  memoryMb: 512_000,
  accelerators: 8,
};

/** One queue of deployment A, as listed in the work plan. */
export interface QueueLoad {
  readonly queue: JobQueue;
  readonly jobsPerS: number;
  readonly runMs: number;
  /** Share of the pool's workers that the policy allows for a stage. */
  readonly allowedShare: number;
  /** Returns the stages of the job with an index. */
  readonly stagesOf: (index: number) => readonly StageSpec[];
}

function queue(
  name: string,
  pool: string,
  options: Pick<JobQueue, "priority" | "stretch" | "latencyObjectiveMs"> & {
    readonly decideMs: number;
    readonly perWorkerMs: number;
  },
): JobQueue {
  const { decideMs, perWorkerMs, ...objective } = options;
  return {
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    pool,
    maxAttempts: 3,
    isPublic: false,
    permits: { decideMs, perWorkerMs, validMs: PERMIT_VALID_MS },
    ...objective,
  };
}

function size(cpuMillis: number, memoryMb = 0, accelerators = 0): Resources {
  return { ...NO_RESOURCES, cpuMillis, memoryMb, accelerators };
}

const BATCH = { priority: 2, stretch: 4, latencyObjectiveMs: 3_000 };

/** The queues of deployment A; times of permit queries are rounded. */
export const QUEUES: readonly QueueLoad[] = [
  {
    queue: queue("quick", SMALL_POOL, {
      priority: 0,
      stretch: 1.5,
      latencyObjectiveMs: 250,
      decideMs: 16,
      perWorkerMs: 1,
    }),
    jobsPerS: 30.9,
    runMs: 700,
    allowedShare: 0.7,
    stagesOf: (index) => {
      const stage = plainStage({
        tasks: 10,
        size: size(2_700, 1_000),
        estimateMs: 700,
        speculative: index % 10 < 3,
      });
      return index % 2 === 0 ? [stage] : [stage, { ...stage, dependsOn: [0] }];
    },
  },
  {
    queue: queue("rollup", SMALL_POOL, {
      ...BATCH,
      decideMs: 80,
      perWorkerMs: 2,
    }),
    jobsPerS: 1.64,
    runMs: 4_500,
    allowedShare: 0.45,
    stagesOf: (index) => {
      const stage = plainStage({
        tasks: 22,
        size: size(4_500, 2_000),
        estimateMs: 4_500,
        checkpoints: index % 5 !== 0,
      });
      return [stage, { ...stage, dependsOn: [0] }];
    },
  },
  {
    queue: queue("wide", LARGE_POOL, {
      priority: 1,
      stretch: 2.2,
      latencyObjectiveMs: 1_000,
      decideMs: 600,
      perWorkerMs: 5,
    }),
    jobsPerS: 3.14,
    runMs: 3_600,
    allowedShare: 0.3,
    stagesOf: (index) => [plainStage({
      tasks: 5,
      size: size(62_000, 320_000, [8, 2, 8, 4][index % 4]!),
      estimateMs: 3_600,
      gang: true,
      sameRack: true,
      checkpoints: index % 10 !== 0,
    })],
  },
  {
    queue: queue("ledger", SMALL_POOL, {
      priority: 1,
      stretch: 0,
      latencyObjectiveMs: 2_500,
      decideMs: 50,
      perWorkerMs: 2,
    }),
    jobsPerS: 0.174,
    runMs: 600_000,
    allowedShare: 0.7,
    stagesOf: () => [plainStage({
      tasks: 15,
      size: size(500, 500),
      lasting: true,
      disruptionBudget: 2,
    })],
  },
  {
    queue: queue("scan", LARGE_POOL, {
      ...BATCH,
      decideMs: 80,
      perWorkerMs: 2,
    }),
    jobsPerS: 3.54,
    runMs: 2_400,
    allowedShare: 0.45,
    stagesOf: (index) => [plainStage({
      tasks: 20,
      size: size(11_000, 33_000, 1),
      estimateMs: 2_400,
      checkpoints: index % 5 !== 0,
    })],
  },
];

/** Returns the API key of a team. */
export function keyOf(team: number): string {
  return `key-${team % TEAMS}`;
}

/** Returns the desired state with these queues. */
export function desiredOf(queues: readonly JobQueue[]): DesiredState {
  return {
    version: 1,
    queues,
    pools: [SMALL_POOL, LARGE_POOL].map((name) => ({
      name,
      guardsCapacity: false,
      isSpare: false,
    })),
    teams: Array.from({ length: TEAMS }, (_, team) => ({
      name: `team-${team}`,
      keys: [keyOf(team)],
      share: 1,
      jobsPerS: 0,
      ceiling: NO_RESOURCES,
    })),
  };
}

/** Returns `count` workers of the small pool. */
export function smallWorkers(count: number): WorkerInfo[] {
  return workers("s", count, SMALL_POOL, SMALL);
}

/** Returns the 245 workers of deployment A. */
export function deploymentWorkers(): WorkerInfo[] {
  return [
    ...smallWorkers(SMALL_WORKERS),
    ...workers("l", LARGE_WORKERS, LARGE_POOL, LARGE),
  ];
}

function workers(
  prefix: string,
  count: number,
  pool: string,
  capacity: Resources,
): WorkerInfo[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${prefix}${index}`,
    incarnation: 1,
    pool,
    address: `${prefix}${index}:1`,
    zone: `zone-${index % 3}`,
    state: WorkerState.Ready,
    capacity,
    labels: [pool, `rack-${Math.floor(index / RACK_WORKERS)}`],
    rack: `${prefix}-rack-${Math.floor(index / RACK_WORKERS)}`,
  }));
}

/** A job and the time at which it is submitted, in milliseconds. */
export interface TimedJob {
  readonly atMs: number;
  readonly load: QueueLoad;
  readonly index: number;
  readonly spec: StagedJobSpec;
}

/** When the quick queue gets more than its usual rate. */
export interface Burst {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly factor: number;
}

/** Returns the jobs of all queues until `untilMs`, by seeded arrival times. */
export function listJobs(
  seed: number,
  untilMs: number,
  burst: Burst,
): TimedJob[] {
  const random = new Random(seed);
  const jobs: TimedJob[] = [];
  for (const load of QUEUES) {
    let index = 0;
    for (let atMs = 0; atMs < untilMs;) {
      const isBurst = load.queue.priority === 0 && atMs >= burst.fromMs &&
        atMs < burst.untilMs;
      const rate = load.jobsPerS * (isBurst ? burst.factor : 1);
      atMs += -Math.log(1 - random.fraction()) * 1_000 / rate;
      const spread = 0.75 + 0.5 * random.fraction();
      const payload = JSON.stringify({
        runMs: Math.round(load.runMs * spread),
        failures: 0,
      });
      const spec = { payload, stages: load.stagesOf(index) };
      jobs.push({ atMs, load, index: index++, spec });
    }
  }
  return jobs.sort((a, b) => a.atMs - b.atMs);
}
