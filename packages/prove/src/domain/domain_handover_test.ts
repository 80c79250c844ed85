import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
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
