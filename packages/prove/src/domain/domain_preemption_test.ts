import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  NIGHTLY_PREFIX,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

/** More jobs than all workers have room for. */
const NIGHTLY_JOBS = 12;
const NIGHTLY_RUN_MS = 8_000;
const URGENT_RUN_MS = 300;
const SETTLE_MS = 60_000;
/** Time limit of a stop, its listing and a permit query, in ms. */
const URGENT_START_MS = 600;

interface PreemptionCase {
  readonly name: string;
  /** The nightly tasks resume from checkpoints. */
  readonly checkpoints: boolean;
  readonly isPreempted: boolean;
}

const CASES: readonly PreemptionCase[] = [
  { name: "that resume", checkpoints: true, isPreempted: true },
  { name: "that would start over", checkpoints: false, isPreempted: false },
];

describe("urgent work on full workers", () => {
  for (const { name, checkpoints, isPreempted } of CASES) {
    const verb = isPreempted ? "stops" : "waits for";
    it(`${verb} less urgent tasks ${name}`, () => {
      const cluster = new DomainCluster({ seed: 1 });
      const { clock, runs, nodeIds } = cluster;
      clock.runUntil(WARM_UP_MS);
      for (let index = 0; index < NIGHTLY_JOBS; index++) {
        cluster.submit(
          jobIdOf(index),
          {
            payload: createTaskPayload({ runMs: NIGHTLY_RUN_MS, failures: 0 }),
            stages: [stageSpec({ checkpoints, estimateMs: NIGHTLY_RUN_MS })],
          },
          nodeIds[index % nodeIds.length]!,
          NIGHTLY_PREFIX,
        );
      }
      clock.runUntil(clock.now + 1_000);
      const urgentId = jobIdOf(NIGHTLY_JOBS);
      const urgentMs = clock.now;
      cluster.submit(urgentId, {
        payload: createTaskPayload({ runMs: URGENT_RUN_MS, failures: 0 }),
        stages: [stageSpec({ estimateMs: 4 * URGENT_RUN_MS })],
      }, nodeIds[0]!);
      clock.runUntil(urgentMs + SETTLE_MS);
      const startsMs = runs.filter(({ task }) => task.startsWith(urgentId))
        .map(({ startMs }) => startMs - urgentMs);
      expect(Math.max(...startsMs) < URGENT_START_MS).to.equal(isPreempted);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});
