import { expect } from "chai";
import { createPlugins, Kernel, Role } from "@mustardweir/kernel";
import type { Resources } from "@mustardweir/model";
import {
  DominantShareOrder,
  FifoOrder,
  NO_TEAM,
  QUEUE_ORDER,
  QueueOrder,
  type TeamDemand,
} from "./mod.ts";

const TOTAL: Resources = {
  cpuMillis: 100_000,
  memoryMb: 100_000,
  accelerators: 10,
  slots: 100,
};

function demand(options: Partial<TeamDemand>): TeamDemand {
  return {
    team: "team",
    weight: 1,
    used: amounts({}),
    urgent: false,
    oldestWaitMs: 0,
    size: amounts({ cpuMillis: 1000, slots: 1 }),
    ...options,
  };
}

function amounts(options: Partial<Resources>): Resources {
  return {
    cpuMillis: 0,
    memoryMb: 0,
    accelerators: 0,
    slots: 0,
    ...options,
  };
}

const HALF = amounts({ cpuMillis: 50_000 });
const TENTH = amounts({ cpuMillis: 10_000 });

interface OrderCase {
  readonly name: string;
  readonly demands: readonly TeamDemand[];
  readonly picked: number;
}

const SHARE_CASES: readonly OrderCase[] = [
  { name: "no team when none waits", demands: [], picked: NO_TEAM },
  {
    name: "the team that uses less",
    demands: [demand({ used: HALF }), demand({ used: TENTH })],
    picked: 1,
  },
  {
    name: "by the resource of which a team uses the largest fraction",
    demands: [
      demand({ used: amounts({ accelerators: 2 }) }),
      demand({ used: TENTH }),
    ],
    picked: 1,
  },
  {
    name: "by weight",
    demands: [demand({ used: HALF, weight: 8 }), demand({ used: TENTH })],
    picked: 0,
  },
  {
    name: "the longer wait among equal shares",
    demands: [demand({}), demand({ oldestWaitMs: 5 })],
    picked: 1,
  },
  {
    name: "urgent work before shares",
    demands: [demand({}), demand({ used: HALF, urgent: true })],
    picked: 1,
  },
  {
    name: "another team when the urgent one is blocked and uses more",
    demands: [
      demand({}),
      demand({ used: HALF, urgent: true, blockedMs: 1 }),
    ],
    picked: 0,
  },
  {
    name: "no team while one that uses less is blocked",
    demands: [demand({ blockedMs: 1 }), demand({ used: TENTH })],
    picked: NO_TEAM,
  },
  {
    name: "a team that uses less than the blocked one",
    demands: [demand({ blockedMs: 1, used: HALF }), demand({ used: TENTH })],
    picked: 1,
  },
  {
    name: "another team when one was blocked for longer than 30 minutes",
    demands: [demand({ blockedMs: 1_800_001 }), demand({ used: TENTH })],
    picked: 1,
  },
  {
    name: "a task without accelerators beside a team blocked for some",
    demands: [
      demand({ blockedMs: 1, size: amounts({ accelerators: 1, slots: 1 }) }),
      demand({ used: HALF }),
    ],
    picked: 1,
  },
  {
    name: "no team without weight",
    demands: [demand({ weight: 0 })],
    picked: NO_TEAM,
  },
];

const FIFO_CASES: readonly OrderCase[] = [
  { name: "no team when none waits", demands: [], picked: NO_TEAM },
  {
    name: "the longest wait",
    demands: [demand({}), demand({ used: HALF, oldestWaitMs: 5 })],
    picked: 1,
  },
  {
    name: "the longest wait that is not blocked",
    demands: [demand({}), demand({ oldestWaitMs: 5, blockedMs: 5 })],
    picked: 0,
  },
];

const ORDERS = [
  { order: new DominantShareOrder(), cases: SHARE_CASES },
  { order: new FifoOrder(), cases: FIFO_CASES },
] as const;

for (const { order, cases } of ORDERS) {
  describe(`order by ${order.name}`, () => {
    for (const { name, demands, picked } of cases) {
      it(`picks ${name}`, () => {
        expect(order.pick(demands, TOTAL)).to.equal(picked);
      });
    }
  });
}

describe("FairnessPlugin", () => {
  it("registers an order for schedulers", () => {
    const kernel = new Kernel({ plugins: createPlugins(Role.Scheduler) });
    expect(kernel.service(QUEUE_ORDER)).to.be.instanceOf(QueueOrder);
  });
});
