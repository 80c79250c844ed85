import { type JobQueue, plainStage, type StageSpec } from "@mustardweir/model";
import type { DomainSummary } from "@mustardweir/replica";
import { expect } from "chai";
import {
  AcceptAll,
  type AdmissionPolicy,
  WaitBound,
} from "./admission_policy.ts";

const NOW_MS = 60_000;

/** Useful for 3 x (1.5 x 1 s + 250 ms) - 1 s = 4.25 s after its submission. */
const STAGE = plainStage({ estimateMs: 1_000 });

function queue(priority: number): JobQueue {
  return {
    name: "plans",
    host: "a.example",
    pathPrefix: "/plans/",
    pool: "ovens",
    priority,
    maxAttempts: 3,
    latencyObjectiveMs: 250,
    stretch: 1.5,
    isPublic: false,
  };
}

function summary(
  waits: DomainSummary["waits"],
  options: Partial<DomainSummary> = {},
): DomainSummary {
  return {
    nodeId: "n1",
    epoch: 1,
    waiting: {},
    largestWorkers: {},
    atMs: NOW_MS - 500,
    openJobs: 10,
    waits,
    ...options,
  };
}

interface AdmissionCase {
  readonly name: string;
  readonly summary: DomainSummary | undefined;
  readonly priority?: number;
  readonly stages?: readonly StageSpec[];
  readonly policy?: AdmissionPolicy;
  /** Retry-After of a job that is turned away, in ms; undefined if accepted. */
  readonly retryAfterMs: number | undefined;
}

const CASES: readonly AdmissionCase[] = [
  { name: "nothing is known", summary: undefined, retryAfterMs: undefined },
  { name: "nothing waits", summary: summary({}), retryAfterMs: undefined },
  // Guards against a wait by learned run times that is compared with a limit by
  // the caller's estimates: 3 x (1.5 x 3 s + 250 ms) - 3 s = 11.25 s.
  {
    name: "it can still be of use, as its tasks run three times as long",
    summary: summary({ ovens: { 0: 11_000 } }, { runFactors: { plans: 3 } }),
    retryAfterMs: undefined,
  },
  {
    name: "it would be of no use, though its tasks run three times as long",
    summary: summary({ ovens: { 0: 13_250 } }, { runFactors: { plans: 3 } }),
    retryAfterMs: 2_000,
  },
  {
    name: "it can still be of use",
    summary: summary({ ovens: { 0: 4_000 } }),
    retryAfterMs: undefined,
  },
  {
    name: "it would be of no use",
    summary: summary({ ovens: { 0: 8_000 } }),
    retryAfterMs: 3_750,
  },
  {
    name: "it is hopeless, up to the longest time",
    summary: summary({ ovens: { 0: 90_000 } }),
    retryAfterMs: 10_000,
  },
  {
    name: "only less urgent work waits",
    summary: summary({ ovens: { 2: 90_000 } }),
    retryAfterMs: undefined,
  },
  {
    name: "more urgent work waits as well",
    summary: summary({ ovens: { 0: 3_000, 2: 3_000 } }),
    priority: 2,
    retryAfterMs: 1_750,
  },
  {
    name: "another pool has the backlog",
    summary: summary({ stoves: { 0: 90_000 } }),
    retryAfterMs: undefined,
  },
  {
    name: "the figures are old",
    summary: summary({ ovens: { 0: 90_000 } }, { atMs: NOW_MS - 5_000 }),
    retryAfterMs: undefined,
  },
  {
    name: "it lasts",
    summary: summary({ ovens: { 0: 90_000 } }),
    stages: [{ ...STAGE, lasting: true }],
    retryAfterMs: undefined,
  },
  {
    name: "it has a long chain of stages",
    summary: summary({ ovens: { 0: 8_000 } }),
    stages: [STAGE, { ...STAGE, dependsOn: [0] }, { ...STAGE, dependsOn: [1] }],
    retryAfterMs: undefined,
  },
  {
    name: "as many jobs are open as fit",
    summary: summary({}, { openJobs: 20_000 }),
    retryAfterMs: 1_000,
  },
  {
    name: "all are accepted",
    summary: summary({ ovens: { 0: 90_000 } }),
    policy: new AcceptAll(),
    retryAfterMs: undefined,
  },
];

describe("admission of a job", () => {
  for (
    const { name, priority = 0, stages = [STAGE], policy, ...rest } of CASES
  ) {
    const verb = rest.retryAfterMs === undefined ? "accepts" : "turns away";
    it(`${verb} it when ${name}`, () => {
      const overload = (policy ?? new WaitBound()).findOverload({
        queue: queue(priority),
        spec: { payload: "", stages: [...stages] },
        summary: rest.summary,
        storeMs: NOW_MS,
        fraction: 0,
      });
      expect(overload?.retryAfterMs).to.equal(rest.retryAfterMs);
    });
  }

  it("spreads the times of retries", () => {
    const retryAfterMs = (fraction: number) =>
      new WaitBound().findOverload({
        queue: queue(0),
        spec: { payload: "", stages: [STAGE] },
        summary: summary({ ovens: { 0: 8_000 } }),
        storeMs: NOW_MS,
        fraction,
      })?.retryAfterMs;
    expect(retryAfterMs(1)).to.equal(5_625);
  });
});
