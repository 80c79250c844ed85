import { NO_RESOURCES } from "@mustardweir/model";
import { expect } from "chai";
import { DomainCluster, jobIdOf, stageSpec } from "./domain_cluster.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const JOBS = 6;
const TASKS_PER_JOB = 20;
const PAYLOAD_BYTES = 2_000;
/** Span within which the bytes of starts are added up, in milliseconds. */
const WINDOW_MS = 500;
const BYTES_PER_MS_PER_MBPS = 125;
/** Time in which all tasks must have started, in milliseconds. */
const DEADLINE_MS = 8_000;

interface LinkCase {
  readonly name: string;
  readonly linkMbps: number;
  readonly isGang: boolean;
}

const CASES: readonly LinkCase[] = [
  { name: "single tasks, 2 Mbit/s", linkMbps: 2, isGang: false },
  { name: "single tasks, 10 Mbit/s", linkMbps: 10, isGang: false },
  { name: "gangs, 2 Mbit/s", linkMbps: 2, isGang: true },
];

/** Returns the largest number of times within any span of `windowMs`. */
function mostWithin(timesMs: readonly number[], windowMs: number): number {
  const sorted = [...timesMs].sort((a, b) => a - b);
  return Math.max(
    ...sorted.map((from) =>
      sorted.filter((at) => at >= from && at < from + windowMs).length
    ),
  );
}

describe("starts on a slow link of the owner", () => {
  for (const { name, linkMbps, isGang } of CASES) {
    it(`stay within what it carries: ${name}`, () => {
      const cluster = new DomainCluster({
        seed: 1,
        linkMbps,
        needsPermits: false,
      });
      const { clock, nodeIds, runs } = cluster;
      clock.runUntil(WARM_UP_MS);
      const payload = JSON.stringify({
        runMs: 60_000,
        failures: 0,
        filler: "x".repeat(PAYLOAD_BYTES),
      });
      for (let index = 0; index < JOBS; index++) {
        cluster.submit(
          jobIdOf(index),
          {
            payload,
            stages: [
              stageSpec({
                tasks: TASKS_PER_JOB,
                gang: isGang,
                size: { ...NO_RESOURCES, cpuMillis: 50 },
              }),
            ],
          },
          nodeIds[index % nodeIds.length]!,
        );
      }
      clock.runUntil(clock.now + DEADLINE_MS);
      expect(runs).to.have.length(JOBS * TASKS_PER_JOB);
      const most = mostWithin(runs.map(({ startMs }) => startMs), WINDOW_MS);
      expect(most * PAYLOAD_BYTES)
        .to.be.at.most(WINDOW_MS * linkMbps * BYTES_PER_MS_PER_MBPS);
    });
  }
});
