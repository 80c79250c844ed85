import { expect } from "chai";
import { runOutageTrial, TableOutageRule } from "./outage_trial.ts";

const CASES = [
  { name: "without a further fault", killsOwner: false },
  { name: "when the owner of a slice is killed", killsOwner: true },
] as const;

describe("Outage of the table", () => {
  for (const { name, killsOwner } of CASES) {
    it(`stops neither requests nor running work, ${name}`, () => {
      const rule = TableOutageRule.Majority;
      const result = runOutageTrial({ seed: 1, rule, killsOwner });
      expect(result.overlappingRuns).to.equal(0);
      expect(result.done / result.requests).to.be.at.least(0.9);
      expect(result.batchMs).to.be.at.least(0.9 * 4 * 300_000);
    });
  }
});
