import { NO_RESOURCES, StagedJobState } from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations, jobState } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2];
const LARGE = jobIdOf(1);
const SMALL_JOBS = 20;
const TINY = { ...NO_RESOURCES, cpuMillis: 1 };
const RUN_MS = 3_000;
const SETTLE_MS = 20_000;
/** Longest time in which a small job beside the large one ends, in ms. */
const SMALL_JOB_MS = 2_000;
const CHECKPOINT = "00000bb87a21d94b";

interface LargeCase {
  readonly name: string;
  readonly tasks?: number;
  readonly checkpoint?: string;
  /** Called while the tasks run. */
  readonly injectFault?: (cluster: DomainCluster) => void;
  /** Number of changes of the owner; 0 by default. */
  readonly changes?: number;
}

/** Rewrites the progress of the large job as an earlier version writes it. */
function joinProgress({ store }: DomainCluster): void {
  const first = store.records.get(`domain\nprogress/${LARGE}`)!;
  const joined = JSON.parse(first.value!);
  for (const { key, value } of [...store.records.values()]) {
    if (!key.startsWith(`progress-part/${LARGE}.`)) {
      continue;
    }
    const { marks, offsets = {}, checkpoints } = JSON.parse(value!);
    for (const [stage, text] of Object.entries<string>(marks)) {
      const before = (joined.marks[stage] ?? "").padEnd(offsets[stage], "0");
      joined.marks[stage] = before.slice(0, offsets[stage]) + text +
        before.slice(offsets[stage] + text.length);
    }
    Object.assign(joined.checkpoints, checkpoints);
    store.remove("domain", key);
  }
  store.put("domain", first.key, JSON.stringify(joined));
}

const CASES: readonly LargeCase[] = [
  { name: "without a fault" },
  { name: "with one task more than a record holds", tasks: 129 },
  { name: "with checkpoints beyond the limit", checkpoint: "s".repeat(800) },
  {
    name: "while the owner is killed after the first ends",
    changes: 1,
    injectFault: (cluster) =>
      cluster.clock.after(
        RUN_MS - 700,
        () => cluster.kill(cluster.owner!),
      ),
  },
  {
    name: "while replies to commits are lost",
    injectFault: ({ store, clock }) => {
      store.faults.lostShare = 0.2;
      clock.after(RUN_MS, () => store.faults.lostShare = 0);
    },
  },
  {
    name: "while an earlier version gives way to this one",
    changes: 1,
    injectFault: (cluster) => {
      const { clock, nodeIds } = cluster;
      clock.after(RUN_MS - 700, () => {
        nodeIds.forEach((id) => cluster.kill(id));
        joinProgress(cluster);
      });
    },
  },
];

function submitLarge(
  cluster: DomainCluster,
  { tasks = 700, checkpoint = CHECKPOINT }: Partial<LargeCase>,
): void {
  const { clock, nodeIds, workers } = cluster;
  clock.runUntil(WARM_UP_MS);
  for (const { faults } of workers.values()) {
    faults.runSpreadMs = 1_500;
  }
  cluster.submit(LARGE, {
    payload: createTaskPayload({ runMs: RUN_MS, failures: 0, checkpoint }),
    stages: [
      stageSpec({ tasks, size: TINY, estimateMs: RUN_MS, checkpoints: true }),
    ],
  }, nodeIds[0]!);
  clock.runUntil(clock.now + 1_000);
}

/** Submits small jobs in turn; returns those that took too long. */
function runSmallJobs(cluster: DomainCluster): string[] {
  const { clock, nodeIds } = cluster;
  const slow: string[] = [];
  for (let index = 0; index < SMALL_JOBS; index++) {
    const jobId = jobIdOf(100 + index);
    cluster.submit(jobId, {
      payload: createTaskPayload({ runMs: 50, failures: 0 }),
      stages: [stageSpec({ tasks: 2, size: TINY })],
    }, nodeIds[index % nodeIds.length]!);
    clock.after(SMALL_JOB_MS, () => {
      if (jobState(cluster, jobId) !== StagedJobState.Completed) {
        slow.push(jobId);
      }
    });
    clock.runUntil(clock.now + 200);
  }
  return slow;
}

function largestRecord({ store }: DomainCluster): number {
  return Math.max(
    ...[...store.records.values()].map(({ value = "" }) => value.length),
  );
}

describe("a job with many tasks", () => {
  for (const testCase of CASES) {
    const { name, injectFault, changes = 0 } = testCase;
    for (const seed of SEEDS) {
      it(`runs each once ${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({
          seed,
          needsPermits: false,
          maxRecordBytes: 8_192,
        });
        submitLarge(cluster, testCase);
        const { epoch } = cluster;
        injectFault?.(cluster);
        const slow = runSmallJobs(cluster);
        cluster.clock.runUntil(cluster.clock.now + SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
        expect(jobState(cluster, LARGE)).to.equal(StagedJobState.Completed);
        expect(cluster.store.rejected).to.equal(0);
        expect(cluster.epoch - epoch).to.equal(changes);
        expect(changes > 0 ? [] : slow).to.deep.equal([]);
        expect(largestRecord(cluster)).to.be.below(8_192);
      });
    }
  }

  it("and a schedule keeps each of its records below the limit", () => {
    const cluster = new DomainCluster({
      seed: 1,
      needsPermits: false,
      maxRecordBytes: 4_096,
    });
    const { clock, store, nodeIds } = cluster;
    clock.runUntil(WARM_UP_MS);
    const { epoch } = cluster;
    cluster.submit(LARGE, {
      payload: createTaskPayload({ runMs: 50, failures: 0 }),
      stages: [stageSpec({ tasks: 1, size: TINY, estimateMs: 50 })],
      schedule: { firstDueMs: store.unixMs, intervalMs: 20, occurrences: 700 },
    }, nodeIds[0]!);
    clock.runUntil(clock.now + 8_000);
    cluster.kill(cluster.owner!);
    clock.runUntil(clock.now + SETTLE_MS);
    expect(findViolations(cluster)).to.deep.equal([]);
    expect(cluster.runs).to.have.length(700);
    expect(store.rejected).to.equal(0);
    expect(cluster.epoch - epoch).to.equal(1);
  });

  it("leaves no part of its progress in the store once it has ended", () => {
    const cluster = new DomainCluster({ seed: 1, needsPermits: false });
    submitLarge(cluster, {});
    cluster.clock.runUntil(cluster.clock.now + SETTLE_MS);
    const parts = [...cluster.store.records.values()].map(({ key }) => key)
      .filter((key) => key.startsWith("progress-part/"));
    expect(parts).to.deep.equal([]);
  });
});

describe("a change that the store never takes", () => {
  for (const seed of SEEDS) {
    it(`costs its own job only, seed ${seed}`, () => {
      const lines: string[] = [];
      const cluster = new DomainCluster({
        seed,
        needsPermits: false,
        onLog: ({ message }) => lines.push(message),
      });
      const { clock, store } = cluster;
      submitLarge(cluster, {});
      const { epoch } = cluster;
      store.faults.rejectedKeys.add(`progress-part/${LARGE}.3`);
      const slow = runSmallJobs(cluster);
      clock.runUntil(clock.now + SETTLE_MS);
      expect(jobState(cluster, LARGE)).to.equal(StagedJobState.Failed);
      expect(lines).to.include("Change can't be written");
      expect(slow).to.deep.equal([]);
      expect(cluster.epoch).to.equal(epoch);
    });
  }
});
