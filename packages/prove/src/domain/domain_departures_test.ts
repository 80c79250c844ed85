import { NO_RESOURCES, type StageSpec } from "@mustardweir/model";
import { AttemptEnd, type LogChangeEffect } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  type DomainClusterOptions,
  jobIdOf,
  stageSpec,
  type WorkerDeparture,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";
import { type RunRecord, WorkReport } from "./domain_worker.ts";

const RUN_MS = 6_000;
/** Time for which tasks have worked when a worker announces its departure. */
const WORKED_MS = 1_500;
const SETTLE_MS = 45_000;
/** A notice as given on deployment A, in milliseconds. */
const NOTICE = { remainingMs: 1_700, leavesAfterMs: 1_800 };
/** Checkpoints hold whole milliseconds. */
const ROUNDING_MS = 10;
/** One core of the four of each worker. */
const CORE = { ...NO_RESOURCES, cpuMillis: 1_000, memoryMb: 500 };

interface Trial {
  readonly cluster: DomainCluster;
  readonly logs: readonly LogChangeEffect[];
  /** The worker that is to leave; it runs tasks. */
  readonly leaving: string;
}

/** Starts a job and lets it work for {@link WORKED_MS}. */
function startTrial(
  stage: Partial<StageSpec>,
  { runMs = RUN_MS, ...options }:
    & Partial<DomainClusterOptions>
    & { readonly runMs?: number } = {},
): Trial {
  const logs: LogChangeEffect[] = [];
  const cluster = new DomainCluster({
    seed: 1,
    needsPermits: false,
    ...options,
    onLog: (line) => logs.push(line),
  });
  const { clock, nodeIds, runs } = cluster;
  clock.runUntil(2 * WARM_UP_MS);
  const workReport = stage.checkpoints
    ? WorkReport.Checkpoint
    : WorkReport.Percent;
  cluster.submit(jobIdOf(0), {
    payload: createTaskPayload({ runMs, failures: 0, workReport }),
    stages: [stageSpec({ estimateMs: runMs, size: CORE, ...stage })],
  }, nodeIds[0]!);
  clock.runUntil(clock.now + WORKED_MS);
  return { cluster, logs, leaving: runs[0]!.workerId };
}

/** Runs until all is over; returns the outcome that the owner logged. */
function settle({ cluster, logs }: Trial): Record<string, unknown> {
  cluster.clock.runUntil(cluster.clock.now + SETTLE_MS);
  expect(findViolations(cluster)).to.deep.equal([]);
  const { finished, moved, lost } =
    logs.find(({ message }) => message === "Departure over")?.fields ?? {};
  return { finished, moved, lost };
}

/** Returns the runs on the worker that ended with it. */
function lostRuns({ cluster, leaving }: Trial): readonly RunRecord[] {
  return cluster.runs.filter(({ workerId, end }) =>
    workerId === leaving && end === undefined
  );
}

function stoppedRuns({ cluster }: Trial): readonly RunRecord[] {
  return cluster.runs.filter(({ end }) => end === AttemptEnd.Stopped);
}

function endMs({ cluster }: Trial): number {
  return Math.max(...cluster.runs.map(({ endMs }) => endMs ?? Infinity));
}

/** Returns the time that all tasks ran beyond what they needed. */
function wastedMs({ cluster }: Trial, runMs: number): number {
  const ranMs = cluster.runs.reduce(
    (sum, { startMs, endMs }) => sum + endMs! - startMs,
    0,
  );
  const tasks = new Set(cluster.runs.map(({ task }) => task)).size;
  return ranMs - tasks * runMs;
}

interface LossCase {
  readonly name: string;
  readonly stage: Partial<StageSpec>;
  readonly workers?: number;
  readonly runMs?: number;
  /** Attempts that end with their worker by its notice. */
  readonly lost?: number;
  /** Most work that is done twice by the notice, in milliseconds. */
  readonly maxWastedMs: number;
}

const LOSS_CASES: readonly LossCase[] = [
  {
    name: "tasks that resume from checkpoints",
    stage: { tasks: 6, checkpoints: true },
    maxWastedMs: ROUNDING_MS,
  },
  {
    name: "tasks that start over",
    stage: { tasks: 6 },
    // What they had worked, the feed's delay and a stop, for four of them.
    maxWastedMs: 4 * (WORKED_MS + 500),
  },
  {
    name: "tasks that resume and find no room",
    stage: { tasks: 8, checkpoints: true },
    workers: 2,
    maxWastedMs: ROUNDING_MS,
  },
  {
    name: "tasks that end in time",
    stage: { tasks: 6 },
    runMs: 2_300,
    maxWastedMs: ROUNDING_MS,
  },
  {
    name: "a gang that resumes",
    stage: { tasks: 6, checkpoints: true, gang: true },
    maxWastedMs: ROUNDING_MS,
  },
];

// Guards against work that is lost with its worker and waits for its lease.
describe("the departure of a worker with notice", () => {
  for (const loss of LOSS_CASES) {
    const { name, stage, maxWastedMs, runMs = RUN_MS, ...options } = loss;
    it(`loses no work of ${name}`, () => {
      const [before, after] = [{ leavesAfterMs: NOTICE.leavesAfterMs }, NOTICE]
        .map((departure) => {
          const trial = startTrial(stage, { ...options, runMs });
          trial.cluster.announceDeparture(trial.leaving, departure);
          const outcome = settle(trial);
          return {
            lost: lostRuns(trial).length,
            logged: outcome.lost,
            wastedMs: Math.round(wastedMs(trial, runMs)),
            endMs: endMs(trial),
          };
        });
      expect(after!.lost).to.equal(0);
      expect(after!.logged).to.equal(0);
      expect(after!.wastedMs).to.be.at.most(maxWastedMs);
      if (runMs === RUN_MS) {
        expect(before!.lost).to.be.above(0);
        expect(after!.endMs).to.be.below(before!.endMs);
      }
    });
  }
});

interface FaultCase {
  readonly name: string;
  readonly stage: Partial<StageSpec>;
  readonly workers?: number;
  readonly departure: WorkerDeparture;
  /** Called when the departure has been announced. */
  readonly injectFault: (trial: Trial) => void;
  /** Attempts that the departing worker's end takes with it. */
  readonly lost: number;
  /** Attempts that are stopped. */
  readonly stopped: number;
}

const SAVING = { tasks: 6, checkpoints: true };
const LONG_NOTICE = { remainingMs: 4_000, leavesAfterMs: 4_100 };

const FAULT_CASES: readonly FaultCase[] = [
  {
    name: "the owner is killed as the notice is written",
    stage: SAVING,
    departure: LONG_NOTICE,
    injectFault: ({ cluster }) => cluster.kill(cluster.owner!),
    lost: 0,
    stopped: 4,
  },
  {
    name: "the owner is killed between the stops and their ends",
    stage: SAVING,
    departure: LONG_NOTICE,
    injectFault: ({ cluster, leaving }) => {
      cluster.workers.get(leaving)!.faults.stopMs = 900;
      cluster.clock.after(300, () => cluster.kill(cluster.owner!));
    },
    lost: 0,
    stopped: 4,
  },
  {
    name: "all nodes are killed as the notice is written",
    stage: SAVING,
    departure: LONG_NOTICE,
    injectFault: ({ cluster }) =>
      cluster.nodeIds.forEach((id) => cluster.kill(id)),
    lost: 0,
    stopped: 4,
  },
  {
    name: "the owner is killed while tasks wait for the latest moment",
    stage: { ...SAVING, tasks: 8 },
    workers: 2,
    departure: LONG_NOTICE,
    injectFault: ({ cluster }) => cluster.kill(cluster.owner!),
    lost: 0,
    stopped: 4,
  },
  {
    name:
      "the owner is paused, and another node takes over before the departure",
    stage: SAVING,
    departure: NOTICE,
    injectFault: ({ cluster }) => cluster.pause(cluster.owner!, 4_000),
    lost: 0,
    stopped: 4,
  },
  {
    name: "the replies to the stops are lost",
    stage: SAVING,
    departure: NOTICE,
    injectFault: ({ cluster, leaving }) => {
      cluster.workers.get(leaving)!.faults.losesStopReplies = true;
    },
    lost: 0,
    stopped: 4,
  },
  {
    name: "the worker is silent from the notice on",
    stage: SAVING,
    departure: NOTICE,
    injectFault: ({ cluster, leaving }) => {
      const { unreachableFrom } = cluster.workers.get(leaving)!.faults;
      cluster.nodeIds.forEach((id) => unreachableFrom.add(id));
    },
    lost: 4,
    stopped: 0,
  },
  {
    name: "the notice is withdrawn while tasks wait for the latest moment",
    stage: { ...SAVING, tasks: 8 },
    workers: 2,
    departure: LONG_NOTICE,
    injectFault: ({ cluster, leaving }) =>
      cluster.clock.after(1_000, () => cluster.withdrawDeparture(leaving)),
    lost: 0,
    stopped: 0,
  },
  {
    name: "the notice is withdrawn while tasks are being stopped",
    stage: SAVING,
    departure: LONG_NOTICE,
    injectFault: ({ cluster, leaving }) => {
      cluster.workers.get(leaving)!.faults.stopMs = 900;
      cluster.clock.after(600, () => cluster.withdrawDeparture(leaving));
    },
    lost: 0,
    stopped: 4,
  },
  {
    name: "another worker with members of the gang leaves too",
    stage: { ...SAVING, gang: true },
    departure: NOTICE,
    injectFault: ({ cluster, leaving }) => {
      const other = cluster.runs.find(({ workerId }) => workerId !== leaving)!;
      cluster.announceDeparture(other.workerId, NOTICE);
    },
    lost: 0,
    // All members, each of them once.
    stopped: 6,
  },
  {
    name: "copies of the notice are written again and again",
    stage: { ...SAVING, tasks: 8 },
    workers: 2,
    departure: NOTICE,
    injectFault: ({ cluster: { clock, store, workers }, leaving }) => {
      for (let afterMs = 100; afterMs < 1_500; afterMs += 100) {
        const { info } = workers.get(leaving)!;
        const labels = [...info.labels, `copy-${afterMs}`];
        clock.after(
          afterMs,
          () => store.setWorker(leaving, { ...info, labels }),
        );
      }
    },
    lost: 0,
    stopped: 4,
  },
];

// Guards against lost work and double runs when something else fails too.
describe("the departure of a worker with notice, while work goes on", () => {
  for (const fault of FAULT_CASES) {
    const { name, stage, departure, injectFault, lost, stopped } = fault;
    it(`ends each task once: ${name}`, () => {
      const { workers } = fault;
      const trial = startTrial(stage, workers === undefined ? {} : { workers });
      trial.cluster.announceDeparture(trial.leaving, departure);
      injectFault(trial);
      settle(trial);
      expect(lostRuns(trial).length).to.equal(lost);
      expect(stoppedRuns(trial).length).to.equal(stopped);
    });
  }
});

// Guards against stops for a departure that count as failed attempts.
describe("tasks that may not fail once", () => {
  it("end though the workers that they move to leave as well", () => {
    const trial = startTrial(SAVING, { maxAttempts: 1 });
    const { cluster } = trial;
    for (let departures = 0; departures < 3; departures++) {
      const { workerId } = cluster.runs.find(({ endMs }) =>
        endMs === undefined
      )!;
      cluster.announceDeparture(workerId, NOTICE);
      cluster.clock.runUntil(cluster.clock.now + 1_200);
    }
    settle(trial);
    expect(stoppedRuns(trial).length).to.be.at.least(3);
    const done = cluster.runs.filter(({ end }) => end === AttemptEnd.Done);
    expect(done.length).to.equal(SAVING.tasks);
    expect(cluster.runs.length).to.equal(
      done.length + stoppedRuns(trial).length,
    );
  });
});

// Guards against tasks that start over without end.
describe("tasks without checkpoints on workers that withdraw their notices", () => {
  it("are moved twice at most", () => {
    const trial = startTrial({ tasks: 6 });
    const { cluster } = trial;
    for (let index = 0; index < 30; index++) {
      cluster.clock.after(index * 1_000, () => {
        const run = cluster.runs.find(({ endMs }) => endMs === undefined);
        if (run !== undefined) {
          cluster.announceDeparture(run.workerId, NOTICE);
          cluster.clock.after(
            700,
            () => cluster.withdrawDeparture(run.workerId),
          );
        }
      });
    }
    settle(trial);
    expect(lostRuns(trial).length).to.equal(0);
    for (const { task } of cluster.runs) {
      const runs = cluster.runs.filter((run) => run.task === task);
      expect(runs.length).to.be.within(1, 3);
    }
  });
});

const BUDGETS = [
  { budget: 0, moved: 0 },
  { budget: 1, moved: 4 },
  { budget: 2, moved: 4 },
];

// Guards against a service of which a notice takes more away than is allowed.
describe("lasting tasks on a worker that leaves", () => {
  for (const { budget, moved } of BUDGETS) {
    it(`move ${moved} in turn with a disruption budget of ${budget}`, () => {
      const trial = startTrial(
        { tasks: 4, lasting: true, disruptionBudget: budget },
        { runMs: SETTLE_MS },
      );
      const { cluster, leaving } = trial;
      cluster.announceDeparture(leaving, LONG_NOTICE);
      cluster.clock.runUntil(cluster.clock.now + LONG_NOTICE.leavesAfterMs);
      cluster.cancel(jobIdOf(0), cluster.nodeIds[0]!);
      const stopped = stoppedRuns(trial);
      expect(stopped.length).to.equal(moved);
      const away = stopped.map(({ task, endMs }) => ({
        fromMs: endMs!,
        toMs: cluster.runs.find((run) =>
          run.task === task && run.startMs >= endMs!
        )!.startMs,
      }));
      const most = away.map(({ fromMs }) =>
        away.filter((other) =>
          other.fromMs <= fromMs && fromMs < other.toMs
        )
          .length
      );
      expect(Math.max(0, ...most)).to.be.at.most(budget);
      settle(trial);
    });
  }

  // Guards against a budget that counts a task on a silent worker as running.
  it("stay while one on a silent worker may be down already", () => {
    const trial = startTrial(
      {
        tasks: 2,
        lasting: true,
        disruptionBudget: 1,
        size: { ...CORE, cpuMillis: 4_000 },
      },
      { runMs: SETTLE_MS },
    );
    const { cluster, leaving } = trial;
    const { clock, nodeIds, runs, workers } = cluster;
    const silent = runs.find(({ workerId }) => workerId !== leaving)!.workerId;
    const { unreachableFrom } = workers.get(silent)!.faults;
    nodeIds.forEach((id) => unreachableFrom.add(id));
    clock.runUntil(clock.now + WORKED_MS);
    cluster.announceDeparture(leaving, LONG_NOTICE);
    clock.runUntil(clock.now + WORKED_MS);
    expect(stoppedRuns(trial).length).to.equal(0);
    unreachableFrom.clear();
    clock.runUntil(clock.now + WORKED_MS);
    expect(stoppedRuns(trial).length).to.equal(1);
    cluster.cancel(jobIdOf(0), nodeIds[0]!);
    settle(trial);
  });
});
