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

const RUN_MS = 1_500;
const LOAD_MS = 4_000;
const SETTLE_MS = 25_000;

interface HandoverCase {
  readonly name: string;
  /** Workers that only the first owner reaches meanwhile. */
  readonly hidden: readonly string[];
  readonly seed: number;
}

const CASES: readonly HandoverCase[] = [
  { name: "all workers", hidden: [], seed: 1 },
  { name: "half of the workers", hidden: ["w0", "w1", "w2"], seed: 1 },
  { name: "half of the workers", hidden: ["w0", "w1", "w2"], seed: 2 },
  { name: "one worker", hidden: ["w5"], seed: 3 },
];

describe("jobs accepted while an owner can't confirm its tenure", () => {
  for (const { name, hidden, seed } of CASES) {
    it(`start once if its successor reaches ${name} late, seed ${seed}`, () => {
      const cluster = new DomainCluster({ seed, needsPermits: false });
      const { clock, store, workers, nodeIds } = cluster;
      clock.runUntil(2 * WARM_UP_MS);
      const owner = cluster.owner!;
      const others = nodeIds.filter((id) => id !== owner);
      store.faults.cutFromDomain.add(owner);
      for (const id of hidden) {
        const { unreachableFrom } = workers.get(id)!.faults;
        others.forEach((node) => unreachableFrom.add(node));
        clock.after(LOAD_MS, () => unreachableFrom.clear());
      }
      cluster.submitSteadily({
        jobsPerS: 5,
        forMs: LOAD_MS,
        spec: {
          payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
          stages: [stageSpec({ tasks: 2, estimateMs: RUN_MS })],
        },
      });
      clock.runUntil(clock.now + LOAD_MS);
      store.faults.cutFromDomain.clear();
      clock.runUntil(clock.now + SETTLE_MS);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});

const HANDOVER_SEEDS = [1, 2];

describe("jobs accepted while the reply to a hand-over is lost", () => {
  for (const seed of HANDOVER_SEEDS) {
    it(`start once, seed ${seed}`, () => {
      const cluster = new DomainCluster({ seed, needsPermits: false });
      const { clock, store, nodeIds, workers } = cluster;
      clock.runUntil(2 * WARM_UP_MS);
      const owner = cluster.owner!;
      for (const id of ["w0", "w1", "w2"]) {
        const { unreachableFrom } = workers.get(id)!.faults;
        nodeIds.filter((node) => node !== owner)
          .forEach((node) => unreachableFrom.add(node));
        clock.after(LOAD_MS, () => unreachableFrom.clear());
      }
      cluster.submitSteadily({
        jobsPerS: 40,
        forMs: LOAD_MS,
        spec: {
          payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
          stages: [stageSpec({ tasks: 1, estimateMs: RUN_MS })],
        },
      });
      // Commits of this store have long timeouts.
      store.faults.callMs = 80;
      clock.runUntil(clock.now + LOAD_MS / 2);
      store.faults.losesRepliesTo.add(owner);
      cluster.stop(owner);
      clock.runUntil(clock.now + LOAD_MS + SETTLE_MS);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});

/** Time in which a worker has room again, in milliseconds. */
const ROOM_MS = 4_000;

it("a job that is cancelled before its starts arrive leaves its workers' room", () => {
  const cluster = new DomainCluster({
    seed: 1,
    workers: 1,
    needsPermits: false,
  });
  const { clock, nodeIds, workers } = cluster;
  const { faults } = workers.get("w0")!;
  const spec = {
    payload: createTaskPayload({ runMs: 500, failures: 0 }),
    stages: [
      stageSpec({ tasks: 1, size: { ...NO_RESOURCES, cpuMillis: 4_000 } }),
    ],
  };
  clock.runUntil(WARM_UP_MS);
  faults.losesStarts = true;
  cluster.submit(jobIdOf(0), spec, nodeIds[0]!);
  clock.runUntil(clock.now + 30);
  cluster.cancel(jobIdOf(0), nodeIds[0]!);
  clock.runUntil(clock.now + 200);
  faults.losesStarts = false;
  cluster.submit(jobIdOf(1), spec, nodeIds[0]!);
  clock.runUntil(clock.now + ROOM_MS);
  expect(jobState(cluster, jobIdOf(1))).to.equal(StagedJobState.Completed);
});
