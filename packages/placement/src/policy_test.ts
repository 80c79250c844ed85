import { expect } from "chai";
import { createPlugins, Kernel, Random, Role } from "@mustardweir/kernel";
import type { Resources } from "@mustardweir/model";
import {
  BestFitPolicy,
  FirstFitPolicy,
  IndexedFitPolicy,
  InstanceTable,
  NO_INSTANCE,
  PLACEMENT_POLICY,
  PlacementPolicy,
  RandomFitPolicy,
} from "./mod.ts";

const SEED = 7;
const PLAIN: Resources = {
  cpuMillis: 64_000,
  memoryMb: 262_144,
  accelerators: 0,
  slots: 8,
};
const ACCELERATED: Resources = {
  cpuMillis: 32_000,
  memoryMb: 65_536,
  accelerators: 8,
  slots: 8,
};
const TASK: Resources = {
  cpuMillis: 2000,
  memoryMb: 4096,
  accelerators: 0,
  slots: 1,
};

/** Instances in order of index, each with the amounts allocated beforehand. */
type Fleet = readonly (readonly [Resources, Partial<Resources>])[];

function createTable(fleet: Fleet): InstanceTable {
  const table = new InstanceTable();
  fleet.forEach(([capacity, taken], i) => {
    const index = table.add({
      instanceId: `i-${i}`,
      capacity,
      rack: `r-${i}`,
      availabilityZone: "zone",
    });
    const none = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };
    table.allocate(index, { ...none, ...taken });
  });
  return table;
}

interface PolicyCase {
  readonly name: string;
  readonly fleet: Fleet;
  readonly size?: Resources;
  readonly crowding?: (index: number) => number;
  readonly ineligible?: number;
  readonly chosen: number;
}

/** Cases in which every policy chooses the same instance. */
const COMMON_CASES: readonly PolicyCase[] = [
  { name: "no instance of an empty table", fleet: [], chosen: NO_INSTANCE },
  {
    name: "the only instance with enough memory",
    fleet: [[PLAIN, { memoryMb: 262_000 }], [PLAIN, {}]],
    chosen: 1,
  },
  {
    name: "no instance when all slots are taken",
    fleet: [[PLAIN, { slots: 8 }], [PLAIN, { slots: 8 }]],
    chosen: NO_INSTANCE,
  },
  {
    name: "no instance when none has enough free accelerators",
    fleet: [[ACCELERATED, { accelerators: 5 }], [ACCELERATED, {
      accelerators: 6,
    }]],
    size: { ...TASK, accelerators: 4 },
    chosen: NO_INSTANCE,
  },
  {
    name: "an instance that is eligible",
    fleet: [[PLAIN, {}], [PLAIN, {}]],
    ineligible: 0,
    chosen: 1,
  },
  {
    name: "an exact fit",
    fleet: [[PLAIN, { cpuMillis: 62_001 }], [PLAIN, { cpuMillis: 62_000 }]],
    chosen: 1,
  },
];

/** Cases in which the packing policies choose the same instance. */
const PACKING_CASES: readonly PolicyCase[] = [
  {
    name: "the fuller of two instances",
    fleet: [[PLAIN, {}], [PLAIN, { cpuMillis: 40_000, slots: 2 }]],
    chosen: 1,
  },
  {
    name: "an instance without accelerators for a task that needs none",
    fleet: [[ACCELERATED, { cpuMillis: 20_000, slots: 4 }], [PLAIN, {}]],
    chosen: 1,
  },
  {
    name: "an accelerated instance when no other has room",
    fleet: [[PLAIN, { slots: 8 }], [ACCELERATED, {}]],
    chosen: 1,
  },
  {
    name: "the instance with the fewest spare accelerators",
    fleet: [[ACCELERATED, {}], [ACCELERATED, { accelerators: 6, slots: 1 }]],
    size: { ...TASK, accelerators: 2 },
    chosen: 1,
  },
  {
    name: "the less crowded instance for a task that is spread",
    fleet: [[PLAIN, {}], [PLAIN, { cpuMillis: 40_000, slots: 2 }]],
    crowding: (index) => index,
    chosen: 0,
  },
];

const POLICIES: readonly {
  readonly policy: PlacementPolicy;
  readonly cases: readonly PolicyCase[];
}[] = [
  { policy: new FirstFitPolicy(), cases: COMMON_CASES },
  { policy: new RandomFitPolicy(), cases: COMMON_CASES },
  {
    policy: new BestFitPolicy(),
    cases: [...COMMON_CASES, ...PACKING_CASES],
  },
  {
    policy: new IndexedFitPolicy({ maxFullScan: 0 }),
    cases: [...COMMON_CASES, ...PACKING_CASES],
  },
];

for (const { policy, cases } of POLICIES) {
  describe(`placement by ${policy.name}`, () => {
    for (const testCase of cases) {
      it(`chooses ${testCase.name}`, () => {
        const table = createTable(testCase.fleet);
        if (testCase.ineligible !== undefined) {
          table.setEligible(testCase.ineligible, false);
        }
        const request = {
          size: testCase.size ?? TASK,
          crowding: testCase.crowding,
        };
        const index = policy.choose(table, request, new Random(SEED));
        expect(index).to.equal(testCase.chosen);
      });
    }
  });
}

describe("PlacementPlugin", () => {
  it("registers a policy for schedulers", () => {
    const kernel = new Kernel({ plugins: createPlugins(Role.Scheduler) });
    expect(kernel.service(PLACEMENT_POLICY)).to.be.instanceOf(PlacementPolicy);
  });
});
