import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  type PolicyTiming,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const NODES = 6;
const WORKERS = 60;
const RUN_MS = 300;
const BURST_MS = 3_000;
const SETTLE_MS = 3_000;
/** Longest wait of a job that still meets its objective, in milliseconds. */
const MAX_WAIT_MS = 1.5 * RUN_MS + 250 - RUN_MS;

interface BurstCase {
  readonly name: string;
  readonly policy: PolicyTiming;
  readonly jobsPerS: number;
  /** Time for which the owner reaches no other node; 0 by default. */
  readonly linksDownMs?: number;
  /** Longest wait for a start, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Urgent work starts within this time, in milliseconds. */
const URGENT_MS = 2_200;

const CASES: readonly BurstCase[] = [
  {
    name: "a policy that is near",
    policy: { decideMs: 10, networkMs: 2 },
    jobsPerS: 140,
    maxWaitMs: MAX_WAIT_MS,
  },
  {
    name: "a policy that the owner reaches by itself only for a moment",
    policy: { decideMs: 10, networkMs: 2 },
    jobsPerS: 140,
    linksDownMs: 400,
    maxWaitMs: URGENT_MS,
  },
  {
    name: "a policy that is slow to reach",
    policy: { decideMs: 10, networkMs: 40 },
    jobsPerS: 140,
    maxWaitMs: MAX_WAIT_MS,
  },
];

/** Cuts or restores the links between the owner and all other nodes. */
function setLinksDown(cluster: DomainCluster, isDown: boolean): void {
  const owner = cluster.owner!;
  for (const node of cluster.nodeIds.filter((id) => id !== owner)) {
    cluster.setLinkDown(owner, node, isDown);
  }
}

describe("a burst of short permit queries", () => {
  for (
    const { name, policy, jobsPerS, linksDownMs = 0, maxWaitMs } of CASES
  ) {
    it(`to ${name} delays no start by more than ${maxWaitMs} ms`, () => {
      const cluster = new DomainCluster({
        seed: 1,
        nodes: NODES,
        workers: WORKERS,
        policy,
      });
      const { clock, runs } = cluster;
      // The first starts wait until the workers' sessions are recorded.
      clock.runUntil(2 * WARM_UP_MS);
      setLinksDown(cluster, true);
      clock.after(linksDownMs, () => setLinksDown(cluster, false));
      const acceptedMs = new Map<string, number>();
      cluster.submitSteadily({
        jobsPerS,
        forMs: BURST_MS,
        spec: {
          payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
          stages: [stageSpec({ tasks: 2, estimateMs: RUN_MS })],
        },
        onSubmit: (jobId) => acceptedMs.set(jobId, clock.now),
      });
      clock.runUntil(clock.now + BURST_MS + 2 * RUN_MS);
      const waits = runs.map(({ task, startMs }) =>
        startMs - acceptedMs.get(task.split(".")[0]!)!
      );
      expect(waits.length).to.be.at.least(2 * acceptedMs.size);
      expect(Math.max(...waits)).to.be.below(maxWaitMs);
      clock.runUntil(clock.now + SETTLE_MS);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});
