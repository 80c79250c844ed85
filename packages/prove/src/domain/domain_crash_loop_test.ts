import { StagedJobState } from "@mustardweir/model";
import { FrontAnswerKind, FrontCallKind } from "@mustardweir/protocol";
import { expect } from "chai";
import type { DomainWorker } from "./domain_worker.ts";
import {
  createTaskPayload,
  DomainCluster,
  type DomainClusterOptions,
  jobIdOf,
  stageSpec,
  WorkerReturn,
} from "./domain_cluster.ts";
import { findViolations, jobState } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];
const JOBS = 30;
const JOB_GAP_MS = 200;
const RUN_MS = 600;
/** Time after the last job in which every job must end, in milliseconds. */
const SETTLE_MS = 45_000;
/** Time that a worker needs to come back, in milliseconds. */
const DOWN_MS = 3_300;
const DEFAULT_WORKERS = 6;
/** Largest share of the workers that known deadly tasks may take down. */
const MAX_DOWN_SHARE = 0.25;

interface CrashCase {
  readonly name: string;
  /** Stages of the deadly jobs; one of three tasks by default. */
  readonly stages?: ReturnType<typeof stageSpec>[];
  /** Tasks of these jobs that crash their worker, as `stage.index`. */
  readonly deadlyTasks: readonly string[];
  /** Run time of their other tasks in milliseconds; 600 by default. */
  readonly runMs?: number;
  /** Number of deadly jobs; 1 by default. */
  readonly deadlyJobs?: number;
  /** Called with the cluster when the first job is submitted. */
  readonly injectFault?: (cluster: DomainCluster) => void;
  /** Number of workers; 6 by default. */
  readonly workers?: number;
  /** Time after which they are back in milliseconds; 3,300 by default. */
  readonly workerReturnMs?: number;
}

const CASES: readonly CrashCase[] = [
  { name: "one task", deadlyTasks: ["0.1"] },
  {
    name: "the tasks of many jobs",
    deadlyTasks: ["0.1"],
    deadlyJobs: 12,
    workers: 16,
  },
  {
    name: "one task whose workers are back after its lease has ended",
    deadlyTasks: ["0.1"],
    workerReturnMs: 6_000,
  },
  {
    name: "all tasks of a job",
    deadlyTasks: ["0.0", "0.1", "0.2"],
  },
  {
    name: "one task while owners are killed",
    deadlyTasks: ["0.1"],
    injectFault: (cluster) => {
      for (const delayMs of [1_500, 6_500]) {
        cluster.clock.after(
          delayMs,
          () => cluster.kill(cluster.owner ?? "n0"),
        );
      }
    },
  },
  {
    name: "one task while the owner is killed after each crash",
    deadlyTasks: ["0.1"],
    injectFault: killOwnerAfterEachCrash,
  },
  {
    name: "a member of a gang",
    stages: [stageSpec({ gang: true, tasks: 4 })],
    deadlyTasks: ["0.2"],
  },
  {
    name: "a task that is to run until its cancellation",
    stages: [stageSpec({ lasting: true })],
    runMs: 300_000,
    deadlyTasks: ["0.1"],
  },
  {
    name: "a task of a later stage",
    stages: [stageSpec(), stageSpec({ tasks: 2, dependsOn: [0] })],
    deadlyTasks: ["1.0"],
  },
];

/** Interval at which the runs are checked for crashes, in milliseconds. */
const CRASH_CHECK_MS = 100;
/** Time from a crash to the end of the owner, before the worker is back. */
const OWNER_LEFT_MS = 2_000;

function killOwnerAfterEachCrash(cluster: DomainCluster): void {
  const { clock, runs } = cluster;
  let known = 0;
  const check = () => {
    const crashes = runs.filter(({ hasCrashedWorker }) => hasCrashedWorker);
    if (crashes.length > known) {
      known = crashes.length;
      clock.after(OWNER_LEFT_MS, () => cluster.kill(cluster.owner ?? "n0"));
    }
    clock.after(CRASH_CHECK_MS, check);
  };
  check();
}

/** Submits ordinary jobs and, in between, jobs with deadly tasks. */
function runCrashCase(
  {
    stages = [stageSpec()],
    deadlyTasks,
    deadlyJobs = 1,
    runMs = RUN_MS,
    workers = DEFAULT_WORKERS,
    workerReturnMs = DOWN_MS,
    injectFault,
  }: CrashCase,
  { seed, workerReturn }: Pick<DomainClusterOptions, "seed" | "workerReturn">,
) {
  const cluster = new DomainCluster({
    seed,
    workers,
    workerReturn: workerReturn!,
    workerReturnMs,
  });
  const { clock, nodeIds } = cluster;
  clock.runUntil(WARM_UP_MS);
  const deadly: string[] = [];
  const ordinary: string[] = [];
  for (let index = 0; index < JOBS; index++) {
    const jobId = jobIdOf(index);
    const isDeadly = index % 2 === 1 && index < 2 * deadlyJobs;
    (isDeadly ? deadly : ordinary).push(jobId);
    clock.after(index * JOB_GAP_MS, () =>
      cluster.submit(jobId, {
        payload: createTaskPayload({
          runMs: isDeadly ? runMs : RUN_MS,
          failures: 0,
          ...(isDeadly ? { deadlyTasks } : {}),
        }),
        stages: isDeadly ? stages : [stageSpec()],
      }, nodeIds[index % nodeIds.length]!));
  }
  injectFault?.(cluster);
  clock.runUntil(WARM_UP_MS + JOBS * JOB_GAP_MS + SETTLE_MS);
  return { cluster, deadly, ordinary };
}

/**
 * Returns the largest number of workers that were down at a time under tasks
 * that had crashed another worker before.
 */
function mostDown({ runs }: DomainCluster): number {
  const known = new Set<string>();
  const crashedMs: number[] = [];
  for (const { task, endMs, hasCrashedWorker } of runs) {
    if (hasCrashedWorker && known.has(task)) {
      crashedMs.push(endMs!);
    } else if (hasCrashedWorker) {
      known.add(task);
    }
  }
  return Math.max(
    0,
    ...crashedMs.map((atMs) =>
      crashedMs.filter((other) => other <= atMs && atMs < other + DOWN_MS)
        .length
    ),
  );
}

describe("a crash loop", () => {
  for (const testCase of CASES) {
    for (const workerReturn of Object.values(WorkerReturn)) {
      for (const seed of SEEDS) {
        it(`of ${testCase.name} ends, ${workerReturn}, seed ${seed}`, () => {
          const { cluster, deadly, ordinary } = runCrashCase(testCase, {
            seed,
            workerReturn,
          });
          expect(findViolations(cluster)).to.deep.equal([]);
          for (const jobId of deadly) {
            expect(jobState(cluster, jobId)).to.equal(StagedJobState.Failed);
          }
          const accepted = ordinary.filter((jobId) =>
            cluster.clients.get(jobId)!.answers.some(({ kind }) =>
              kind === FrontAnswerKind.Accepted
            )
          );
          expect(accepted.length).to.be.at.least(JOBS / 3);
          for (const jobId of accepted) {
            expect(jobState(cluster, jobId)).to.equal(StagedJobState.Completed);
          }
          const { workers = DEFAULT_WORKERS } = testCase;
          expect(mostDown(cluster)).to.be.at.most(
            Math.max(1, workers * MAX_DOWN_SHARE),
          );
        }).timeout(60_000);
      }
    }
  }

  it("is reported to callers as a failed job by every node", () => {
    const { cluster, deadly } = runCrashCase(CASES[0]!, {
      seed: 1,
      workerReturn: WorkerReturn.OtherId,
    });
    const states: unknown[] = [];
    for (const node of cluster.nodeIds) {
      cluster.call(node, FrontCallKind.Status, deadly[0]!, (answer) => {
        states.push(
          answer.kind === FrontAnswerKind.State ? answer.state : answer.kind,
        );
      });
    }
    cluster.clock.runUntil(cluster.clock.now + 500);
    expect(states).to.deep.equal(
      cluster.nodeIds.map(() => StagedJobState.Failed),
    );
  });
});

describe("the count of a task's crashes", () => {
  for (const seed of SEEDS) {
    it(`outlives the owner that recorded it, seed ${seed}`, () => {
      const { cluster, deadly } = runCrashCase({
        ...CASES[0]!,
        injectFault: killOwnerOnceCounted,
      }, { seed, workerReturn: WorkerReturn.OtherId });
      expect(findViolations(cluster)).to.deep.equal([]);
      expect(jobState(cluster, deadly[0]!)).to.equal(StagedJobState.Failed);
      const crashed = cluster.runs.filter(({ hasCrashedWorker }) =>
        hasCrashedWorker
      );
      // One crash is counted by the first owner, one dies with it unnoticed.
      expect(crashed).to.have.length.at.most(3);
    }).timeout(60_000);
  }
});

/** Kills the owner just after the second start of a deadly task. */
function killOwnerOnceCounted(cluster: DomainCluster): void {
  const { clock, runs } = cluster;
  const check = () => {
    const crashes = runs.filter(({ hasCrashedWorker }) => hasCrashedWorker);
    if (crashes.length === 2) {
      cluster.kill(cluster.owner!);
    } else {
      clock.after(50, check);
    }
  };
  check();
}

/** Number of workers that end after a start that they never got. */
const LOST_STARTS = 3;
/** Longest time for which a start is waited for, in milliseconds. */
const START_LIMIT_MS = 5_000;

it("a crash counts against no task whose start the worker didn't get", () => {
  const cluster = new DomainCluster({
    seed: 1,
    workers: 1,
    needsPermits: false,
  });
  const { clock, nodeIds, workers, store } = cluster;
  clock.runUntil(WARM_UP_MS);
  const [[workerId, worker]] = [...workers] as [[string, DomainWorker]];
  const { faults } = worker;
  faults.losesStarts = true;
  const jobId = jobIdOf(0);
  cluster.submit(jobId, {
    payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
    stages: [stageSpec({ tasks: 1 })],
  }, nodeIds[0]!);
  for (let count = 1; count <= LOST_STARTS; count++) {
    const giveUpMs = clock.now + START_LIMIT_MS;
    while (worker.lostStarts < count && clock.now < giveUpMs) {
      clock.runUntil(clock.now + 5);
    }
    nodeIds.forEach((node) => faults.unreachableFrom.add(node));
    clock.runUntil(clock.now + 600);
    worker.crash();
    worker.restart();
    store.setWorker(workerId, worker.info);
    faults.unreachableFrom.clear();
    faults.losesStarts = count < LOST_STARTS;
  }
  clock.runUntil(clock.now + SETTLE_MS);
  expect(jobState(cluster, jobId)).to.equal(StagedJobState.Completed);
});

interface InnocentCase {
  readonly name: string;
  /** Called once while tasks run, with the worker to disturb. */
  readonly injectFault: (cluster: DomainCluster, workerId: string) => void;
  /** Time from the start of the tasks to the fault, in milliseconds. */
  readonly afterMs: number;
}

const OLD_MS = 1_500;
const YOUNG_MS = 100;

function cutOff(forMs: number): InnocentCase["injectFault"] {
  return ({ workers, nodeIds, clock }, workerId) => {
    const { unreachableFrom } = workers.get(workerId)!.faults;
    nodeIds.forEach((node) => unreachableFrom.add(node));
    clock.after(forMs, () => unreachableFrom.clear());
  };
}

function powerOff({ workers, clock, store }: DomainCluster, workerId: string) {
  const worker = workers.get(workerId)!;
  worker.crash();
  clock.after(DOWN_MS, () => {
    worker.restart();
    store.setWorker(workerId, worker.info);
  });
}

/** Cuts off each worker for 8 s that starts one of the tasks, four times. */
function cutOffEach(cluster: DomainCluster): void {
  const { clock, runs } = cluster;
  const { task } = runs[0]!;
  let seen = 0;
  const check = () => {
    const ofTask = runs.filter((run) => run.task === task);
    if (ofTask.length > seen) {
      seen = ofTask.length;
      cutOff(8_000)(cluster, ofTask[seen - 1]!.workerId);
    }
    if (seen < 4) {
      clock.after(YOUNG_MS, check);
    }
  };
  check();
}

const INNOCENT_CASES: readonly InnocentCase[] = [
  {
    name: "is cut off for 2 s",
    afterMs: YOUNG_MS,
    injectFault: cutOff(2_000),
  },
  {
    name: "is cut off for 12 s",
    afterMs: YOUNG_MS,
    injectFault: cutOff(12_000),
  },
  {
    name: "and each later one is cut off for 8 s",
    afterMs: YOUNG_MS,
    injectFault: cutOffEach,
  },
  {
    name: "loses power under old tasks",
    afterMs: OLD_MS,
    injectFault: powerOff,
  },
  {
    name: "loses power under young tasks",
    afterMs: YOUNG_MS,
    injectFault: powerOff,
  },
];

describe("a task that isn't to blame", () => {
  for (const { name, injectFault, afterMs } of INNOCENT_CASES) {
    for (const seed of SEEDS) {
      it(`completes when its worker ${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({ seed });
        const { clock, runs, nodeIds } = cluster;
        clock.runUntil(WARM_UP_MS);
        const jobs = [0, 1, 2, 3].map(jobIdOf);
        for (const jobId of jobs) {
          cluster.submit(jobId, {
            payload: createTaskPayload({ runMs: 3_000, failures: 0 }),
            stages: [stageSpec()],
          }, nodeIds[0]!);
        }
        while (runs.length === 0) {
          clock.runUntil(clock.now + 5);
        }
        clock.runUntil(clock.now + afterMs);
        injectFault(cluster, runs[0]!.workerId);
        clock.runUntil(clock.now + SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
        for (const jobId of jobs) {
          expect(jobState(cluster, jobId)).to.equal(StagedJobState.Completed);
        }
      }).timeout(60_000);
    }
  }
});
