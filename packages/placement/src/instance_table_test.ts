import { expect } from "chai";
import fc from "fast-check";
import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "@mustardweir/model";
import { InstanceTable } from "./mod.ts";

const SEED = 20_261_126;
const CAPACITY: Resources = {
  cpuMillis: 8000,
  memoryMb: 4096,
  accelerators: 2,
  slots: 4,
};
const SMALL: Resources = {
  cpuMillis: 3000,
  memoryMb: 1024,
  accelerators: 1,
  slots: 1,
};

function createTable(ids: readonly string[]): InstanceTable {
  const table = new InstanceTable();
  for (const instanceId of ids) {
    table.add({
      instanceId,
      capacity: CAPACITY,
      rack: `rack-${instanceId}`,
      availabilityZone: "zone",
    });
  }
  return table;
}

interface TableCase {
  readonly name: string;
  readonly act: (table: InstanceTable) => unknown;
  readonly result: unknown;
  readonly totalFree: Resources;
}

const TWO = addResources(CAPACITY, CAPACITY);

const TABLE_CASES: readonly TableCase[] = [
  {
    name: "finds an instance and its rack",
    act: (table) => table.rackAt(table.indexOf("b")),
    result: "rack-b",
    totalFree: TWO,
  },
  {
    name: "doesn't find an instance that was not added",
    act: (table) => table.indexOf("c"),
    result: -1,
    totalFree: TWO,
  },
  {
    name: "allocates room",
    act: (table) => {
      table.allocate(0, SMALL);
      return table.freeAt(0);
    },
    result: subtractResources(CAPACITY, SMALL),
    totalFree: subtractResources(TWO, SMALL),
  },
  {
    name: "releases room",
    act: (table) => {
      table.allocate(0, SMALL);
      table.release(0, SMALL);
      return table.freeAt(0);
    },
    result: CAPACITY,
    totalFree: TWO,
  },
  {
    name: "fits nothing on an instance that is not eligible",
    act: (table) => {
      table.setEligible(1, false);
      return table.fits(1, SMALL);
    },
    result: false,
    totalFree: CAPACITY,
  },
  {
    name: "releases room on an instance that is not eligible",
    act: (table) => {
      table.allocate(1, SMALL);
      table.setEligible(1, false);
      table.release(1, SMALL);
      table.setEligible(1, true);
      return table.freeAt(1);
    },
    result: CAPACITY,
    totalFree: TWO,
  },
  {
    name: "has negative free room after its capacity was reduced",
    act: (table) => {
      table.allocate(0, SMALL);
      table.setCapacity(0, { ...CAPACITY, cpuMillis: 1000 });
      return [table.freeAt(0).cpuMillis, table.fits(0, NO_RESOURCES)];
    },
    result: [-2000, false],
    totalFree: subtractResources(
      { ...TWO, cpuMillis: 9000 },
      SMALL,
    ),
  },
  {
    name: "gives the row of a removed instance to the next one",
    act: (table) => {
      table.allocate(0, SMALL);
      const removed = table.remove("a");
      const index = table.add({
        instanceId: "c",
        capacity: SMALL,
        rack: "r",
        availabilityZone: "zone",
      });
      return [removed, index, table.indexOf("a"), table.freeAt(index)];
    },
    result: [true, 0, -1, SMALL],
    totalFree: addResources(CAPACITY, SMALL),
  },
  {
    name: "counts running tasks beyond the capacity",
    act: (table) => {
      table.allocateRunning(0, addResources(CAPACITY, SMALL));
      return table.freeAt(0).cpuMillis;
    },
    result: -3000,
    totalFree: subtractResources(CAPACITY, SMALL),
  },
];

const INVARIANT_CASES = [
  {
    name: "to allocate more room than is free",
    act: (table: InstanceTable) =>
      table.allocate(0, { ...SMALL, cpuMillis: 8001 }),
    message: "instance a has no room for the task",
  },
  {
    name: "to add an instance twice",
    act: (table: InstanceTable) =>
      table.add({
        instanceId: "a",
        capacity: CAPACITY,
        rack: "r",
        availabilityZone: "zone",
      }),
    message: "instance a is already in the table",
  },
  {
    name: "to release room that was not allocated",
    act: (table: InstanceTable) => table.release(0, SMALL),
    message: "instance a has more free room than capacity",
  },
  {
    name: "to change a row without an instance",
    act: (table: InstanceTable) => table.setEligible(7, true),
    message: "row 7 has no instance",
  },
] as const;

describe("InstanceTable", () => {
  for (const { name, act, result, totalFree } of TABLE_CASES) {
    it(name, () => {
      const table = createTable(["a", "b"]);
      expect(act(table)).to.deep.equal(result);
      expect(table.totalFree()).to.deep.equal(totalFree);
    });
  }

  for (const { name, act, message } of INVARIANT_CASES) {
    it(`refuses ${name}`, () => {
      expect(() => act(createTable(["a", "b"]))).to.throw(message);
    });
  }
});

const amounts = fc.record({
  cpuMillis: fc.integer({ min: 0, max: 5000 }),
  memoryMb: fc.integer({ min: 0, max: 3000 }),
  accelerators: fc.integer({ min: 0, max: 2 }),
  slots: fc.integer({ min: 0, max: 2 }),
});

/** The table under test, and a list of tasks per instance to check it by. */
class TableModel {
  readonly table = new InstanceTable();
  readonly tasks = new Map<string, Resources[]>();

  used(instanceId: string): Resources {
    const tasks = this.tasks.get(instanceId) ?? [];
    return tasks.reduce(addResources, NO_RESOURCES);
  }

  check(): void {
    let total = NO_RESOURCES;
    for (const instanceId of this.tasks.keys()) {
      const index = this.table.indexOf(instanceId);
      const free = this.table.freeAt(index);
      const used = this.used(instanceId);
      const capacity = this.table.capacityAt(index);
      expect(addResources(free, used)).to.deep.equal(capacity);
      total = this.table.isEligible(index) ? addResources(total, free) : total;
    }
    expect(this.table.totalFree()).to.deep.equal(total);
    expect(this.table.size).to.equal(this.tasks.size);
  }
}

type Step = (model: TableModel, instanceId: string, size: Resources) => void;

const STEPS: readonly Step[] = [
  (model, instanceId, size) => {
    if (!model.tasks.has(instanceId)) {
      const capacity = addResources(CAPACITY, size);
      const place = { rack: "r", availabilityZone: "zone" };
      model.table.add({ instanceId, capacity, ...place });
      model.tasks.set(instanceId, []);
    }
  },
  (model, instanceId, size) => {
    const index = model.table.indexOf(instanceId);
    if (index >= 0 && model.table.fits(index, size)) {
      model.table.allocate(index, size);
      model.tasks.get(instanceId)!.push(size);
      const capacity = model.table.capacityAt(index);
      expect(fitsWithin(model.used(instanceId), capacity)).to.equal(true);
    }
  },
  (model, instanceId) => {
    const task = model.tasks.get(instanceId)?.pop();
    if (task) {
      model.table.release(model.table.indexOf(instanceId), task);
    }
  },
  (model, instanceId, size) => {
    const index = model.table.indexOf(instanceId);
    if (index >= 0) {
      model.table.setEligible(index, size.slots !== 0);
    }
  },
  (model, instanceId, size) => {
    const index = model.table.indexOf(instanceId);
    if (index >= 0) {
      model.table.setCapacity(index, size);
    }
  },
  (model, instanceId) => {
    model.table.remove(instanceId);
    model.tasks.delete(instanceId);
  },
];

const steps = fc.array(
  fc.tuple(
    fc.constantFrom(0, 0, 1, 1, 1, 1, 2, 3, 4, 5),
    fc.constantFrom("a", "b", "c", "d"),
    amounts,
  ),
  { maxLength: 120 },
);

describe("InstanceTable over random steps", () => {
  it("allocates no more than the capacity and keeps the totals correct", () => {
    fc.assert(
      fc.property(steps, (chosen) => {
        const model = new TableModel();
        for (const [step, instanceId, size] of chosen) {
          STEPS[step]!(model, instanceId, size);
          model.check();
        }
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});
