import {
  type DesiredState,
  NO_RESOURCES,
  type Resources,
} from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";
import type { RunRecord } from "./domain_worker.ts";

const SEEDS = [1, 2, 3];
const WORKERS = 12;
const CAPACITY_TASKS = 4;
const TASK: Resources = { ...NO_RESOURCES, cpuMillis: 1_000, memoryMb: 100 };
/** Tasks that the team may have running in all. */
const CEILING_TASKS = 18;
const JOB_TASKS = 3;
/** So long that they outlast the silence of workers. */
const RUN_MS = 12_000;
const FIRST_JOBS = CEILING_TASKS / JOB_TASKS;
/** Jobs that wait when the owner is lost. */
const WAITING_JOBS = 3;
const SILENCE_MS = 5_500;
const LOAD_MS = 7_000;
const LOAD_JOBS_PER_S = 4;
const SETTLE_MS = 150_000;
const MAX_TAKEOVER_MS = 5_000;
/** Time in which the other workers have reported, in milliseconds. */
const REPORT_MS = 300;
/** Time in which tasks start that have room, in milliseconds. */
const START_MS = 300;

interface CeilingCase {
  readonly name: string;
  /** Number of workers that fall silent; 2 by default. */
  readonly silent?: number;
  /** Called when they have fallen silent, with the tasks that run. */
  readonly onLoss: (
    cluster: DomainCluster,
    running: readonly RunRecord[],
  ) => void;
  /** Whether half of the workers are of another pool; no by default. */
  readonly hasTwoPools?: boolean;
  /** Whether tasks reserve no processor time; no by default. */
  readonly isBestEffort?: boolean;
  /** What stops of tasks take, in milliseconds; 100 by default. */
  readonly stopMs?: number;
}

function killOwner(cluster: DomainCluster): void {
  cluster.kill(cluster.owner!);
}

/** Cancels the jobs of some running tasks through a node that isn't killed. */
function cancelSome(
  cluster: DomainCluster,
  running: readonly RunRecord[],
  jobs: number,
): void {
  const node = cluster.nodeIds.find((id) => id !== cluster.owner)!;
  const ids = [...new Set(running.map(({ task }) => task.split(".")[0]!))];
  ids.slice(0, jobs).forEach((id) => cluster.cancel(id, node));
}

function lowerCeiling({ store }: DomainCluster): void {
  store.setDesired({
    ...desiredState({ cpuMillis: 14 * TASK.cpuMillis }),
    version: 2,
  });
}

const CASES: readonly CeilingCase[] = [
  { name: "workers are silent", onLoss: killOwner },
  {
    name: "one worker is silent",
    silent: 1,
    onLoss: killOwner,
  },
  {
    name: "workers are silent and two owners are lost in turn",
    onLoss: (cluster) => {
      killOwner(cluster);
      cluster.clock.after(
        2_600,
        () => cluster.owner !== undefined && killOwner(cluster),
      );
    },
  },
  {
    name: "workers are silent and the owner is back at once",
    onLoss: (cluster) => cluster.kill(cluster.owner!, 20),
  },
  {
    name: "workers are silent and the owner hands over",
    onLoss: (cluster) => cluster.stop(cluster.owner!),
  },
  {
    name: "workers of one of two pools are silent",
    hasTwoPools: true,
    onLoss: killOwner,
  },
  {
    name: "workers with best-effort tasks are silent",
    isBestEffort: true,
    onLoss: killOwner,
  },
  {
    name: "jobs are cancelled",
    silent: 0,
    stopMs: 900,
    onLoss: (cluster, running) => {
      cancelSome(cluster, running, 3);
      killOwner(cluster);
    },
  },
  {
    name: "jobs are cancelled while there is no owner",
    silent: 0,
    stopMs: 900,
    onLoss: (cluster, running) => {
      killOwner(cluster);
      cluster.clock.after(300, () => cancelSome(cluster, running, 3));
    },
  },
  {
    name: "jobs are cancelled before workers fall silent",
    stopMs: 3_000,
    onLoss: (cluster, running) => {
      cancelSome(cluster, running, 3);
      cluster.clock.after(400, () => killOwner(cluster));
    },
  },
  {
    name: "workers are silent and jobs are cancelled after the takeover",
    stopMs: 900,
    onLoss: (cluster, running) => {
      killOwner(cluster);
      cluster.clock.after(2_800, () => cancelSome(cluster, running, 4));
    },
  },
  {
    name: "workers are silent and the ceiling is lowered",
    onLoss: (cluster) => {
      killOwner(cluster);
      cluster.clock.after(500, () => lowerCeiling(cluster));
    },
  },
];

function desiredState(ceiling: Partial<Resources>): DesiredState {
  const queue = (name: string, pool: string) => ({
    name,
    host: "a.example",
    pathPrefix: `/${name}/`,
    pool,
    maxAttempts: 3,
    latencyObjectiveMs: 250,
    stretch: 1.5,
    isPublic: false,
    priority: 0,
  });
  return {
    version: 1,
    queues: [queue("plans", "ovens"), queue("nightly", "mixers")],
    pools: ["ovens", "mixers"].map((name) => ({
      name,
      guardsCapacity: false,
      isSpare: false,
    })),
    teams: [{
      name: "storefront",
      keys: ["k1"],
      share: 1,
      jobsPerS: 0,
      ceiling: { ...NO_RESOURCES, ...ceiling },
    }],
  };
}

/** Records the most tasks that run at once just after a start. */
class RunCount {
  most = 0;
  /** Time of the latest starts beyond the ceiling, in milliseconds. */
  readonly excess: string[] = [];

  constructor({ runs, clock }: DomainCluster) {
    const push = runs.push.bind(runs);
    runs.push = (...records) => {
      const length = push(...records);
      const running = runs.filter(({ endMs }) => endMs === undefined).length;
      this.most = Math.max(this.most, running);
      if (running > CEILING_TASKS) {
        this.excess.push(`${running} tasks run at ${Math.round(clock.now)}`);
      }
      return length;
    };
  }
}

function createCluster(
  seed: number,
  { ceiling = CEILING_TASKS, hasTwoPools = false }: {
    readonly ceiling?: number;
    readonly hasTwoPools?: boolean;
  } = {},
): DomainCluster {
  const plain = new DomainCluster({ seed: 1, nodes: 0, workers: WORKERS });
  return new DomainCluster({
    seed,
    desired: desiredState({ cpuMillis: ceiling * TASK.cpuMillis }),
    workerInfos: [...plain.workers.values()].map(({ info }, index) => ({
      ...info,
      pool: hasTwoPools && index % 2 === 1 ? "mixers" : "ovens",
      capacity: {
        ...NO_RESOURCES,
        cpuMillis: CAPACITY_TASKS * TASK.cpuMillis,
        memoryMb: 8_000,
      },
    })),
  });
}

function jobSpec({ tasks = JOB_TASKS, runMs = RUN_MS, bestEffort = false }) {
  return {
    payload: createTaskPayload({ runMs, failures: 0 }),
    stages: [stageSpec({ tasks, size: TASK, estimateMs: runMs, bestEffort })],
  };
}

/** Cuts workers off that run most tasks; they are back after a time. */
function silence(
  { workers, nodeIds, clock, runs }: DomainCluster,
  count: number,
): void {
  const tasksOn = (id: string) =>
    runs.filter(({ workerId, endMs }) => workerId === id && endMs === undefined)
      .length;
  const busiest = [...workers.keys()].sort((a, b) => tasksOn(b) - tasksOn(a));
  for (const id of busiest.slice(0, count)) {
    const { unreachableFrom } = workers.get(id)!.faults;
    nodeIds.forEach((node) => unreachableFrom.add(node));
    clock.after(SILENCE_MS, () => unreachableFrom.clear());
  }
}

/** Fills the team's ceiling, loses the owner, and submits more jobs. */
function runCeilingCase(testCase: CeilingCase, seed: number) {
  const { silent = 2, onLoss, hasTwoPools = false, isBestEffort = false } =
    testCase;
  const cluster = createCluster(seed, { hasTwoPools });
  const { clock, nodeIds, workers, runs } = cluster;
  const count = new RunCount(cluster);
  const spec = jobSpec({ bestEffort: isBestEffort });
  workers.forEach(({ faults }) => faults.stopMs = testCase.stopMs ?? 100);
  clock.runUntil(WARM_UP_MS);
  const submit = (index: number, node: string) =>
    cluster.submit(
      jobIdOf(index),
      spec,
      node,
      hasTwoPools && index % 2 === 1 ? "/nightly/" : "/plans/",
    );
  for (let index = 0; index < FIRST_JOBS + WAITING_JOBS; index++) {
    submit(index, nodeIds[index % nodeIds.length]!);
  }
  clock.runUntil(clock.now + 2_000);
  const running = runs.filter(({ endMs }) => endMs === undefined);
  expect(running).to.have.length(CEILING_TASKS);
  const owner = cluster.owner!;
  const others = nodeIds.filter((id) => id !== owner);
  silence(cluster, silent);
  onLoss(cluster, running);
  const jobs = LOAD_MS * LOAD_JOBS_PER_S / 1_000;
  for (let index = 0; index < jobs; index++) {
    clock.after(
      index * 1_000 / LOAD_JOBS_PER_S,
      () => submit(100 + index, others[index % others.length]!),
    );
  }
  clock.runUntil(clock.now + LOAD_MS + SETTLE_MS);
  return { cluster, count };
}

// Guards against starts beyond a ceiling that tasks fill which a new owner
// hasn't found yet, or has found and doesn't want.
describe("a team at its ceiling gets no more when its owner is lost and", () => {
  for (const testCase of CASES) {
    for (const seed of SEEDS) {
      it(`${testCase.name}, seed ${seed}`, () => {
        const { cluster, count } = runCeilingCase(testCase, seed);
        expect(count.excess).to.deep.equal([]);
        expect(count.most).to.equal(CEILING_TASKS);
        expect(findViolations(cluster)).to.deep.equal([]);
      }).timeout(60_000);
    }
  }
});

interface FreeCase {
  readonly name: string;
  /** Tasks that the team may have running; 0 for no ceiling. */
  readonly ceiling: number;
  /** Tasks that run when the owner is lost. */
  readonly before: number;
}

const FREE_CASES: readonly FreeCase[] = [
  { name: "without a ceiling", ceiling: 0, before: 12 },
  { name: "far below its ceiling", ceiling: 40, before: 6 },
  { name: "that had nothing running", ceiling: 6, before: 0 },
  { name: "that has room beside the silent worker", ceiling: 18, before: 9 },
];

// Guards against a ceiling that stops a team for the leases of a silent worker
// that can't hide enough to fill it.
describe("a team goes on at once though a worker is silent after a takeover", () => {
  for (const { name, ceiling, before } of FREE_CASES) {
    for (const seed of SEEDS) {
      it(`${name}, seed ${seed}`, () => {
        const cluster = createCluster(seed, { ceiling });
        const { clock, nodeIds, runs } = cluster;
        clock.runUntil(WARM_UP_MS);
        if (before > 0) {
          cluster.submit(jobIdOf(0), jobSpec({ tasks: before }), nodeIds[0]!);
        }
        clock.runUntil(clock.now + 1_000);
        silence(cluster, 1);
        const owner = cluster.owner!;
        killOwner(cluster);
        const giveUpMs = clock.now + MAX_TAKEOVER_MS;
        while (cluster.owner === undefined && clock.now < giveUpMs) {
          clock.runUntil(clock.now + 10);
        }
        clock.runUntil(clock.now + REPORT_MS);
        const node = nodeIds.find((id) => id !== owner)!;
        cluster.submit(jobIdOf(1), jobSpec({ tasks: 3 }), node);
        clock.runUntil(clock.now + START_MS);
        const started = runs.filter(({ task }) => task.startsWith(jobIdOf(1)));
        expect(started).to.have.length(3);
        clock.runUntil(clock.now + SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
      }).timeout(60_000);
    }
  }
});
