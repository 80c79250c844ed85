import { NO_RESOURCES, StagedJobState } from "@mustardweir/model";
import { FrontAnswerKind, FrontCallKind } from "@mustardweir/protocol";
import { recordKey, RecordKind } from "@mustardweir/replica";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  NIGHTLY_PREFIX,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations, jobState } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const PLAN = jobIdOf(1);
const OTHER_PLAN = jobIdOf(2);
const MINUTE_MS = 60_000;
const TINY = { ...NO_RESOURCES, cpuMillis: 1 };
const ORDERS = 10;
/** Longest time in which an order beside the schedule ends, in milliseconds. */
const ORDER_MS = 2_000;

interface PlanOptions {
  readonly jobId?: string;
  readonly times: number;
  readonly tasks?: number;
  readonly runMs?: number;
  readonly intervalMs?: number;
  /** Time from now to the last due time, in milliseconds; 0 by default. */
  readonly lastInMs?: number;
  /** Whether no worker has room for its tasks. */
  readonly isBlocked?: boolean;
}

/** Submits a job with a schedule whose last time is about now. */
function submitPlan(cluster: DomainCluster, options: PlanOptions): void {
  const {
    jobId = PLAN,
    times,
    tasks = 1,
    runMs = 20,
    intervalMs = MINUTE_MS,
    lastInMs = 0,
    isBlocked = false,
  } = options;
  const { store, nodeIds } = cluster;
  cluster.submit(
    jobId,
    {
      payload: createTaskPayload({ runMs, failures: 0 }),
      stages: [stageSpec({
        tasks,
        size: TINY,
        estimateMs: runMs,
        ...(isBlocked ? { requiredLabel: "none" } : {}),
      })],
      schedule: {
        firstDueMs: store.unixMs + lastInMs - times * intervalMs,
        intervalMs,
        occurrences: times,
      },
    },
    nodeIds[0]!,
    NIGHTLY_PREFIX,
  );
}

/** Submits orders in turn; returns those that took too long. */
function runOrders(cluster: DomainCluster): string[] {
  const { clock, nodeIds } = cluster;
  const slow: string[] = [];
  for (let index = 0; index < ORDERS; index++) {
    const jobId = jobIdOf(100 + index);
    cluster.submit(jobId, {
      payload: createTaskPayload({ runMs: 50, failures: 0 }),
      stages: [stageSpec({ tasks: 2, size: TINY })],
    }, nodeIds[index % nodeIds.length]!);
    clock.after(ORDER_MS, () => {
      if (jobState(cluster, jobId) !== StagedJobState.Completed) {
        slow.push(jobId);
      }
    });
    clock.runUntil(clock.now + 200);
  }
  clock.runUntil(clock.now + ORDER_MS);
  return slow;
}

function createCluster(): DomainCluster {
  const cluster = new DomainCluster({ seed: 1, needsPermits: false, nodes: 3 });
  cluster.clock.runUntil(WARM_UP_MS);
  return cluster;
}

/** Processor time of the shorter of two measurements, for slow machines, in ms. */
const MIN_BASE_MS = 150;

function processorMs(run: () => void): number {
  const before = process.cpuUsage();
  run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000;
}

interface CostCase {
  readonly name: string;
  readonly few: number;
  readonly many: number;
  readonly isBlocked: boolean;
  readonly plans?: readonly string[];
  /** Called when the schedule has been accepted for a while. */
  readonly disturb?: (cluster: DomainCluster) => void;
  readonly maxRatio: number;
}

const COSTS: readonly CostCase[] = [
  {
    name: "that have passed and wait",
    few: 600,
    many: 20_000,
    isBlocked: true,
    maxRatio: 4,
  },
  {
    name: "that wait, in two schedules",
    few: 600,
    many: 20_000,
    isBlocked: true,
    plans: [PLAN, OTHER_PLAN],
    maxRatio: 4,
  },
  {
    name: "that wait while the owner is killed",
    few: 600,
    many: 20_000,
    isBlocked: true,
    disturb: (cluster) => cluster.kill(cluster.owner!),
    maxRatio: 4,
  },
  {
    name: "that wait while it is cancelled",
    few: 600,
    many: 20_000,
    isBlocked: true,
    disturb: (cluster) => cluster.cancel(PLAN, cluster.nodeIds[1]!),
    maxRatio: 4,
  },
];

function costOf(testCase: CostCase, times: number): number {
  const { isBlocked, plans = [PLAN], disturb } = testCase;
  const cluster = createCluster();
  const { clock } = cluster;
  return processorMs(() => {
    for (const jobId of plans) {
      submitPlan(cluster, { jobId, times, isBlocked });
    }
    clock.runUntil(clock.now + 2_000);
    disturb?.(cluster);
    clock.runUntil(clock.now + 4_000);
  });
}

interface RunCase {
  readonly name: string;
  readonly plan: PlanOptions;
  readonly plans?: readonly string[];
  readonly injectFault?: (cluster: DomainCluster) => void;
  /** Number of changes of the owner; 0 by default. */
  readonly changes?: number;
}

const RUNS: readonly RunCase[] = [
  { name: "that have passed", plan: { times: 1_500 } },
  { name: "in two schedules", plan: { times: 800 }, plans: [PLAN, OTHER_PLAN] },
  { name: "at one moment", plan: { times: 1_000, intervalMs: 0 } },
  { name: "of many tasks", plan: { times: 12, tasks: 130 } },
  {
    name: "that become due in turn",
    plan: { times: 600, intervalMs: 10, lastInMs: 4_000 },
  },
  {
    name: "that have passed while the owner is killed",
    plan: { times: 1_500, runMs: 400 },
    changes: 1,
    injectFault: (cluster) =>
      cluster.clock.after(300, () => cluster.kill(cluster.owner!)),
  },
  {
    name: "that become due while all nodes are killed",
    plan: { times: 600, intervalMs: 10, lastInMs: 4_000, runMs: 400 },
    changes: 1,
    injectFault: (cluster) =>
      cluster.clock.after(
        1_500,
        () => cluster.nodeIds.forEach((id) => cluster.kill(id)),
      ),
  },
];

interface RecordsCase {
  readonly name: string;
  /** Whether a node of an earlier version could become the owner. */
  readonly hasEarlierVersion: boolean;
  readonly maxParts: number;
}

const RECORDS: readonly RecordsCase[] = [
  { name: "that are done are removed", hasEarlierVersion: false, maxParts: 2 },
  {
    name: "stay while an earlier version may need them",
    hasEarlierVersion: true,
    maxParts: 10,
  },
];

function countParts({ store }: DomainCluster): number {
  return [...store.records.values()]
    .filter(({ key }) => key.startsWith(`${RecordKind.ProgressPart}/${PLAN}.`))
    .length;
}

/** Keeps the record of a live node of an earlier version in the store. */
function addEarlierNode(cluster: DomainCluster): void {
  const { part, key } = recordKey(RecordKind.Node, "earlier");
  cluster.store.put(
    part,
    key,
    JSON.stringify({
      address: "earlier:1",
      incarnation: "earlier",
      zone: "zone-0",
      unixOffsetMs: 0,
    }),
  );
  cluster.clock.after(2_000, () => addEarlierNode(cluster));
}

// Guards against owners that stand still over a schedule with many times, so that
// the domain goes from one node to the next and nothing else runs.
describe("a schedule with many times", () => {
  for (const testCase of COSTS) {
    const { name, few, many, maxRatio } = testCase;
    it(`${name} costs little more than one with few`, () => {
      const base = Math.max(costOf(testCase, few), MIN_BASE_MS);
      expect(costOf(testCase, many) / base).to.be.below(maxRatio);
    });
  }

  for (const { name, plan, plans = [PLAN], injectFault, changes = 0 } of RUNS) {
    it(`runs each once ${name}, beside orders in time`, () => {
      const cluster = createCluster();
      const { clock, runs, epoch } = cluster;
      plans.forEach((jobId) => submitPlan(cluster, { ...plan, jobId }));
      injectFault?.(cluster);
      const slow = runOrders(cluster);
      clock.runUntil(clock.now + 20_000);
      expect(findViolations(cluster)).to.deep.equal([]);
      for (const jobId of plans) {
        expect(jobState(cluster, jobId)).to.equal(StagedJobState.Completed);
        expect(
          new Set(
            runs.filter(({ task }) => task.startsWith(jobId))
              .map(({ task }) => task),
          ).size,
        ).to.equal(plan.times * (plan.tasks ?? 1));
      }
      expect(cluster.epoch - epoch).to.equal(changes);
      expect(changes > 0 ? [] : slow).to.deep.equal([]);
    });
  }

  for (const { name, hasEarlierVersion, maxParts } of RECORDS) {
    it(`has records that ${name}`, () => {
      const cluster = createCluster();
      const { clock } = cluster;
      if (hasEarlierVersion) {
        addEarlierNode(cluster);
        clock.runUntil(clock.now + 2_000);
      }
      submitPlan(cluster, { times: 1_200, intervalMs: 5, lastInMs: 600 });
      clock.runUntil(clock.now + 500);
      cluster.kill(cluster.owner!);
      clock.runUntil(clock.now + 6_000);
      // The last occurrence is yet to come.
      submitPlan(cluster, {
        jobId: OTHER_PLAN,
        times: 1_200,
        intervalMs: 5,
        lastInMs: 5_000,
      });
      expect(jobState(cluster, PLAN)).to.equal(StagedJobState.Completed);
      clock.runUntil(clock.now + 4_000);
      expect(findViolations(cluster).filter((line) => line.includes("twice")))
        .to.deep.equal([]);
      expect(countParts(cluster)).to.equal(0);
      const open = [...cluster.store.records.values()].filter(({ key }) =>
        key.startsWith(`${RecordKind.ProgressPart}/${OTHER_PLAN}.`)
      );
      expect(open.length).to.be.at.most(maxParts);
      expect(open.length > 2).to.equal(hasEarlierVersion);
    });
  }

  it("that is cancelled tells so at once and starts nothing more", () => {
    const cluster = createCluster();
    const { clock, nodeIds, runs } = cluster;
    submitPlan(cluster, { times: 10_080, runMs: 5_000 });
    clock.runUntil(clock.now + 300);
    cluster.cancel(PLAN, nodeIds[1]!);
    clock.runUntil(clock.now + 1_000);
    const { length } = runs;
    const states: unknown[] = [];
    cluster.call(
      nodeIds[2]!,
      FrontCallKind.Status,
      PLAN,
      (answer) => states.push(answer),
    );
    clock.runUntil(clock.now + 5_000);
    expect(states).to.deep.equal([{
      kind: FrontAnswerKind.State,
      state: StagedJobState.Cancelled,
    }]);
    expect(runs).to.have.length(length);
  });
});
