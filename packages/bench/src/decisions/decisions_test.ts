import { expect } from "chai";
import { runRebalanceTrial } from "./rebalance_trial.ts";

interface DecisionCase {
  readonly name: string;
  /** Measures in virtual time: the same on every machine. */
  readonly measure: () => number;
  readonly atMost: number;
}

const SEED = 7;

const DECISION_CASES: readonly DecisionCase[] = [
  {
    name: "asks another slice when it gets room",
    measure: () => Math.max(...runRebalanceTrial(SEED)),
    atMost: 1_000,
  },
];

describe("Decisions", function () {
  this.timeout(120_000);
  for (const { name, measure, atMost } of DECISION_CASES) {
    it(name, () => {
      expect(measure()).to.be.at.most(atMost);
    });
  }
});
