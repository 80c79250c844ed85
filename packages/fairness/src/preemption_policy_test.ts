import { NO_RESOURCES, type Resources } from "@mustardweir/model";
import { expect } from "chai";
import { EntitledPreemption } from "./mod.ts";

interface PolicyCase {
  readonly name: string;
  readonly usedCores: number;
  readonly urgent?: boolean;
  readonly mayPreempt: boolean;
}

/** The team is entitled to half of the fleet and requests one core. */
const POLICY_CASES: readonly PolicyCase[] = [
  {
    name: "a team well below its entitlement",
    usedCores: 40,
    mayPreempt: true,
  },
  {
    name: "no team that lacks less than the slack",
    usedCores: 49.6,
    mayPreempt: false,
  },
  {
    name: "no team that the ask would take over its entitlement",
    usedCores: 49.4,
    mayPreempt: false,
  },
  { name: "no team above its entitlement", usedCores: 60, mayPreempt: false },
  {
    name: "urgent work of a team over its entitlement",
    usedCores: 60,
    urgent: true,
    mayPreempt: true,
  },
];

describe("EntitledPreemption", () => {
  for (const { name, usedCores, urgent, mayPreempt } of POLICY_CASES) {
    it(`preempts for ${name}`, () => {
      const policy = new EntitledPreemption();
      const allocation = {
        team: "a",
        used: cores(usedCores),
        entitledShare: 0.5,
      };
      const allocations = new Map([["a", allocation]]);
      const request = { team: "a", size: cores(1), urgent, allocations };
      expect(policy.mayPreempt({ ...request, total: cores(100) }))
        .to.equal(mayPreempt);
    });
  }
});

function cores(count: number): Resources {
  return { ...NO_RESOURCES, cpuMillis: count * 1_000 };
}
