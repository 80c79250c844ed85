import { expect } from "chai";
import {
  BoundKind,
  fails,
  formatJson,
  formatTable,
  type Metric,
  missesBound,
} from "./mod.ts";

interface BoundCase {
  readonly name: string;
  readonly metric: Partial<Metric>;
  readonly misses: boolean;
  readonly fails: boolean;
}

const CASES: readonly BoundCase[] = [
  { name: "no bound", metric: { value: 9 }, misses: false, fails: false },
  {
    name: "a value at its upper bound",
    metric: { value: 2, bound: 2 },
    misses: false,
    fails: false,
  },
  {
    name: "a value over its upper bound",
    metric: { value: 3, bound: 2 },
    misses: true,
    fails: true,
  },
  {
    name: "a value under its lower bound",
    metric: { value: 1, bound: 2, boundKind: BoundKind.AtLeast },
    misses: true,
    fails: true,
  },
  {
    name: "a missed bound that depends on the machine",
    metric: { value: 3, bound: 2, machineBound: true },
    misses: true,
    fails: false,
  },
  {
    name: "a value that is not a number",
    metric: { value: NaN, bound: 2 },
    misses: true,
    fails: true,
  },
];

describe("bounds of metrics", () => {
  for (const { name, metric, misses, fails: failing } of CASES) {
    it(`are checked for ${name}`, () => {
      const full: Metric = { name: "m", unit: "us", value: 0, ...metric };
      expect(missesBound(full)).to.equal(misses);
      expect(fails(full)).to.equal(failing);
      expect(JSON.parse(formatJson(full, 4))).to.include({
        name: "m",
        missed: misses,
        cores: 4,
      });
      expect(formatTable([full]).includes("MISSED")).to.equal(misses);
    });
  }
});
