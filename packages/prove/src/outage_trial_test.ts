import { expect } from "chai";
import { BlindRule, runOutageTrial } from "./outage_trial.ts";

const CASES = [
  { name: "without a death", killsOwner: false },
  { name: "with the death of a slice's owner", killsOwner: true },
] as const;

describe("An outage of the table", () => {
  for (const { name, killsOwner } of CASES) {
    it(`stops neither requests nor running work, ${name}`, () => {
      const rule = BlindRule.Majority;
      const result = runOutageTrial({ seed: 1, rule, killsOwner });
      expect(result.doubled).to.equal(0);
      expect(result.done / result.requests).to.be.at.least(0.9);
      expect(result.batchMs).to.be.at.least(0.9 * 4 * 300_000);
    });
  }
});
