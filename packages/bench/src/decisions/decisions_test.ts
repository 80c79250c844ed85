import { expect } from "chai";
import { runDrainTrial } from "./drain_trial.ts";
import { type GangTrialOptions, runGangTrial } from "./gang_trial.ts";
import { runOverloadTrial } from "./overload_trial.ts";
import { runRebalanceTrial } from "./rebalance_trial.ts";
import { runSharingTrial } from "./sharing_trial.ts";
import { runSpreadTrial } from "./spread_trial.ts";
import { runUrgentTrial } from "./urgent_trial.ts";

interface DecisionCase {
  readonly name: string;
  /** Measures in virtual time, so the result is the same on every machine. */
  readonly measure: () => number;
  readonly atMost: number;
}

const SEED = 7;

const drained = memoize(() => runDrainTrial(SEED));

const SHORT_SHARING = { seed: SEED, instances: 8, sharedMs: 16_000 };

const DECISION_CASES: readonly DecisionCase[] = [
  {
    name: "moves waiting tasks to another slice once it has room",
    measure: () => Math.max(...runRebalanceTrial(SEED)),
    atMost: 1_000,
  },
  {
    name: "starts urgent work on a full fleet",
    measure: () => Math.max(...runUrgentTrial(SEED).waits),
    atMost: 2_200,
  },
  {
    name: "returns lent room to teams that need it again",
    measure: () => runSharingTrial(SHORT_SHARING).errors.at(-1)!,
    atMost: 0.02,
  },
  {
    name: "preempts nothing once the teams have their shares",
    measure: () => runSharingTrial(SHORT_SHARING).preemptedLate,
    atMost: 0,
  },
  {
    name: "spreads a service over racks",
    measure: () => runSpreadTrial(SEED).inRack,
    atMost: 1,
  },
  {
    name: "starts a gang among small tasks",
    measure: () => findLongestWait({}),
    atMost: 5_000,
  },
  {
    name: "starts a gang of whole instances among small tasks of its team",
    measure: () => findLongestWait({ memberSize: 8, isOwnLoad: true }),
    atMost: 30_000,
  },
  {
    name: "starts gangs that compete for the same instances",
    measure: () => findLongestWait({ memberSize: 8, gangs: 6 }),
    atMost: 30_000,
  },
  {
    name: "empties a zone before the deadline of its drain",
    measure: () => drained().emptiedMs,
    atMost: 12_000,
  },
  {
    name: "stops few of the tasks that end by themselves while a zone drains",
    measure: () => drained().stopped,
    atMost: 250,
  },
  {
    name: "keeps the other zones in use while one drains",
    measure: () => 1 - drained().minUsedDraining,
    atMost: 0.1,
  },
  {
    name: "immediately refuses most requests that can't start in time",
    measure: () => runOverloadTrial(SEED).expired,
    atMost: 0.15,
  },
];

/** Returns a function that measures on its first call and keeps the result. */
function memoize<Result>(measure: () => Result): () => Result {
  let result: Result | undefined;
  return () => result ??= measure();
}

function findLongestWait(options: Omit<GangTrialOptions, "seed">): number {
  const { waits } = runGangTrial({ seed: SEED, forMs: 40_000, ...options });
  return Math.max(...waits);
}

describe("Decisions", function () {
  this.timeout(120_000);
  for (const { name, measure, atMost } of DECISION_CASES) {
    it(name, () => {
      expect(measure()).to.be.at.most(atMost);
    });
  }
});
