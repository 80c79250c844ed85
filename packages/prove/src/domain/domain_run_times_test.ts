import { NO_RESOURCES, StagedJobState } from "@mustardweir/model";
import { MIN_SAMPLES } from "@mustardweir/run-times";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { jobState } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const LOAD_MS = 12_000;
/** Time in which another node has taken over. */
const TAKEOVER_MS = 8_000;
/** Deviation from the real ratio that delays of orders and reports explain. */
const MAX_DEVIATION = 0.15;

interface TakeoverCase {
  readonly name: string;
  readonly estimateMs: number;
  readonly runMs: number;
  /** How the owner's tenure ends. */
  readonly end: (cluster: DomainCluster, owner: string) => void;
}

const CASES: readonly TakeoverCase[] = [
  {
    name: "is stopped",
    estimateMs: 500,
    runMs: 950,
    end: (cluster, owner) => cluster.stop(owner),
  },
  {
    name: "crashes",
    estimateMs: 500,
    runMs: 950,
    end: (cluster, owner) => cluster.kill(owner, 60_000),
  },
  {
    name: "crashes while tasks take half of their estimates",
    estimateMs: 1_800,
    runMs: 900,
    end: (cluster, owner) => cluster.kill(owner, 60_000),
  },
];

// Guards against a successor that plans by the callers' estimates again.
describe("the run times of a queue", () => {
  for (const { name, estimateMs, runMs, end } of CASES) {
    it(`are known to the next owner when the first one ${name}`, () => {
      const cluster = new DomainCluster({ seed: 1, needsPermits: false });
      const { clock } = cluster;
      clock.runUntil(2 * WARM_UP_MS);
      const owner = cluster.owner!;
      cluster.submitSteadily({
        jobsPerS: 5,
        forMs: LOAD_MS,
        spec: {
          payload: createTaskPayload({ runMs, failures: 0 }),
          stages: [stageSpec({ tasks: 2, estimateMs })],
        },
      });
      clock.runUntil(clock.now + LOAD_MS + 2_000);
      const expected = runMs / estimateMs;
      const margin = MAX_DEVIATION * expected;
      expect(cluster.runFactorOn(owner, "plans"))
        .to.be.closeTo(expected, margin);
      end(cluster, owner);
      clock.runUntil(clock.now + TAKEOVER_MS);
      const successor = cluster.owner!;
      expect(successor).not.to.be.oneOf([owner, undefined]);
      expect(cluster.runFactorOn(successor, "plans"))
        .to.be.closeTo(expected, margin);
      expect(cluster.runFactorOn(successor, "nightly")).to.equal(undefined);
    });
  }

  // Guards against factors from the part of a run that a new owner has seen.
  it("don't follow from runs that the owner has adopted", () => {
    const cluster = new DomainCluster({ seed: 1, needsPermits: false });
    const { clock, nodeIds } = cluster;
    clock.runUntil(2 * WARM_UP_MS);
    const owner = cluster.owner!;
    const size = { ...NO_RESOURCES, cpuMillis: 100, memoryMb: 50 };
    const runMs = 6_000;
    cluster.submit(jobIdOf(0), {
      payload: createTaskPayload({ runMs, failures: 0 }),
      stages: [stageSpec({ tasks: 2 * MIN_SAMPLES, size, estimateMs: runMs })],
    }, nodeIds.find((id) => id !== owner)!);
    clock.after(2_000, () => cluster.kill(owner, 60_000));
    clock.runUntil(clock.now + 2_000 + runMs + TAKEOVER_MS);
    expect(jobState(cluster, jobIdOf(0))).to.equal(StagedJobState.Completed);
    expect(cluster.runs).to.have.length(2 * MIN_SAMPLES);
    expect(cluster.runFactorOn(cluster.owner!, "plans")).to.equal(undefined);
  });
});
