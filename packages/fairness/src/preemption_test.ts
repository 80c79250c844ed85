import { expect } from "chai";
import { JobKind, Priority, type Resources } from "@mustardweir/model";
import {
  pickVictims,
  type PickVictimsOptions,
  type PlacedTask,
  type PreemptionPlace,
} from "./mod.ts";

const NONE = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };
const TOTAL: Resources = {
  cpuMillis: 100,
  memoryMb: 100,
  accelerators: 0,
  slots: 100,
};

function cpu(cpuMillis: number): Resources {
  return { ...NONE, cpuMillis };
}

function task(taskId: string, options: Partial<PlacedTask> = {}): PlacedTask {
  return {
    taskId,
    team: "rich",
    kind: JobKind.Batch,
    priority: Priority.Normal,
    idempotent: true,
    size: cpu(10),
    lostMs: 100,
    ...options,
  };
}

function place(
  instanceId: string,
  tasks: readonly PlacedTask[],
  free = 0,
): PreemptionPlace {
  return { instanceId, free: cpu(free), tasks };
}

/**
 * "rich" uses 80 of 100 and is entitled to 40, "fair" is at its entitlement of
 * 20, "poor" is below its own.
 */
const OPTIONS: Omit<PickVictimsOptions, "places"> = {
  team: "poor",
  size: cpu(10),
  total: TOTAL,
  allocations: new Map([
    ["rich", { team: "rich", used: cpu(80), entitledShare: 0.4 }],
    ["fair", { team: "fair", used: cpu(20), entitledShare: 0.2 }],
    ["poor", { team: "poor", used: cpu(0), entitledShare: 0.4 }],
  ]),
};

interface VictimsCase {
  readonly name: string;
  readonly options: Partial<PickVictimsOptions>;
  readonly places: readonly PreemptionPlace[];
  /** Ids of the victims; none when nothing may be stopped. */
  readonly victims?: readonly string[];
}

const CASES: readonly VictimsCase[] = [
  {
    name: "the task with the least work lost",
    options: {},
    places: [
      place("i", [task("a"), task("b", { lostMs: 1 })]),
      place("j", [task("c", { lostMs: 50 })]),
    ],
    victims: ["b"],
  },
  {
    name: "no task of a team at its entitlement",
    options: {},
    places: [place("i", [task("a", { team: "fair", lostMs: 0 })])],
  },
  {
    name: "a batch task of a team at its entitlement for urgent work",
    options: { urgent: true },
    places: [place("i", [task("a", { team: "fair" })])],
    victims: ["a"],
  },
  {
    name: "no service of a team at its entitlement, even for urgent work",
    options: { urgent: true },
    places: [
      place("i", [task("a", { team: "fair", kind: JobKind.Service })]),
    ],
  },
  {
    name: "a service of a team over its entitlement",
    options: {},
    places: [place("i", [task("a", { kind: JobKind.Service })])],
    victims: ["a"],
  },
  {
    name: "no urgent, at-most-once or request task",
    options: { urgent: true },
    places: [place("i", [
      task("a", { priority: Priority.Urgent }),
      task("b", { idempotent: false }),
      task("c", { kind: JobKind.Request }),
    ])],
  },
  {
    name: "no task for a team at its entitlement",
    options: { team: "fair" },
    places: [place("i", [task("a")])],
  },
  {
    name: "only the tasks needed in addition to the free room",
    options: { size: cpu(30) },
    places: [place("i", [
      task("a", { lostMs: 1 }),
      task("b", { lostMs: 2 }),
      task("c", { lostMs: 3, size: cpu(20) }),
    ], 5)],
    victims: ["b", "c"],
  },
  {
    name: "no task that would bring its team below its entitlement",
    options: { size: cpu(40) },
    places: [place("i", [
      task("a", { size: cpu(30) }),
      task("b", { size: cpu(30) }),
    ])],
  },
  {
    name: "no task when no instance would have room",
    options: { size: cpu(30) },
    places: [place("i", [task("a")]), place("j", [task("b")])],
  },
];

describe("pickVictims", () => {
  for (const { name, options, places, victims } of CASES) {
    it(`stops ${name}`, () => {
      const picked = pickVictims({ ...OPTIONS, ...options, places });
      const ids = picked?.victims.map(({ taskId }) => taskId);
      expect(ids).to.deep.equal(victims);
    });
  }
});
