import { expect } from "chai";
import fc from "fast-check";
import { fitsWithin, type Resources } from "@mustardweir/model";
import { type EntitlementInput, entitlements } from "./mod.ts";

const SEED = 11;
const TOLERANCE = 1e-6;
const TOTAL: Resources = {
  cpuMillis: 9000,
  memoryMb: 18_000,
  accelerators: 10,
  slots: 100,
};

function input(weight: number, wanted: Partial<Resources>): EntitlementInput {
  const none = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };
  return { team: `weight-${weight}`, weight, wanted: { ...none, ...wanted } };
}

interface EntitlementCase {
  readonly name: string;
  readonly inputs: readonly EntitlementInput[];
  readonly shares: readonly number[];
}

const CASES: readonly EntitlementCase[] = [
  { name: "nothing when there is no team", inputs: [], shares: [] },
  {
    name: "all resources in proportion to the weights",
    inputs: [input(2, TOTAL), input(1, TOTAL)],
    shares: [2 / 3, 1 / 3],
  },
  {
    name: "a team no more than its demand, and the rest to others",
    inputs: [input(1, { cpuMillis: 900 }), input(1, { cpuMillis: 9000 })],
    shares: [0.1, 0.9],
  },
  {
    name: "a team its whole demand when no other team needs it",
    inputs: [input(1, { accelerators: 10 }), input(5, { memoryMb: 18_000 })],
    shares: [1, 1],
  },
  {
    // Tasks of 1 core and 4 GB beside tasks of 3 cores and 1 GB.
    name: "equal dominant shares to teams with tasks of unlike proportions",
    inputs: [
      input(1, { cpuMillis: 9000, memoryMb: 36_000 }),
      input(1, { cpuMillis: 9000, memoryMb: 3000 }),
    ],
    shares: [2 / 3, 2 / 3],
  },
  {
    name: "nothing to teams without weight or demand",
    inputs: [input(0, TOTAL), input(1, {}), input(1, TOTAL)],
    shares: [0, 0, 1],
  },
];

describe("entitlements", () => {
  for (const { name, inputs, shares } of CASES) {
    it(`gives ${name}`, () => {
      const given = entitlements(inputs, TOTAL).map(({ share }) => share);
      expect(given.length).to.equal(shares.length);
      given.forEach((share, i) =>
        expect(share).to.be.closeTo(shares[i]!, TOLERANCE)
      );
    });
  }

  it("gives no more than the total and no more than the demand", () => {
    const inputs = fc.array(
      fc.record({
        team: fc.constantFrom("a", "b", "c"),
        weight: fc.integer({ min: 1, max: 9 }),
        wanted: fc.record({
          cpuMillis: fc.integer({ min: 0, max: 20_000 }),
          memoryMb: fc.integer({ min: 0, max: 20_000 }),
          accelerators: fc.integer({ min: 0, max: 20 }),
          slots: fc.integer({ min: 0, max: 200 }),
        }),
      }),
      { maxLength: 12 },
    );
    const check = fc.property(inputs, (drawn) => {
      const given = entitlements(drawn, TOTAL);
      const sum = sumOf(given.map(({ resources }) => resources));
      expect(fitsWithin(sum, withTolerance(TOTAL))).to.equal(true);
      given.forEach(({ resources }, i) => {
        const limit = withTolerance(drawn[i]!.wanted);
        expect(fitsWithin(resources, limit)).to.equal(true);
      });
    });
    fc.assert(check, { seed: SEED });
  });
});

function sumOf(amounts: readonly Resources[]): Resources {
  const sum = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };
  for (const amount of amounts) {
    sum.cpuMillis += amount.cpuMillis;
    sum.memoryMb += amount.memoryMb;
    sum.accelerators += amount.accelerators;
    sum.slots += amount.slots;
  }
  return sum;
}

function withTolerance(amounts: Resources): Resources {
  return {
    cpuMillis: amounts.cpuMillis + 0.01,
    memoryMb: amounts.memoryMb + 0.01,
    accelerators: amounts.accelerators + TOLERANCE,
    slots: amounts.slots + TOLERANCE,
  };
}
