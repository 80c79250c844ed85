import { NO_RESOURCES, type Resources } from "@mustardweir/model";
import { expect } from "chai";
import { LeaveAlone, policyFor } from "./departure_policy.ts";
import { FreeRoom, type WorkerRoom } from "./free_room.ts";
import { type DepartingUnit, DepartureAction, planDeparture } from "./plan.ts";

const NOW_MS = 10_000;
const STOP_MS = 900;
/** Time left after which a stop is no longer sure to end in time. */
const LATEST_MS = 1_100;

function cores(count: number): Resources {
  return { ...NO_RESOURCES, cpuMillis: count * 1_000 };
}

function roomOf(count: number, labels: readonly string[] = []): WorkerRoom {
  return { free: cores(count), labels };
}

const NEED = { size: cores(1), requiredLabel: "" };

/** A task of one core with 5 s left on a worker that leaves in 1.5 s. */
function unitOf(options: Partial<DepartingUnit> = {}): DepartingUnit {
  return {
    name: "a.0.0.0",
    stage: "a.0.0",
    priority: 1,
    isLasting: false,
    isBestEffort: false,
    checkpoints: false,
    isConfirmed: true,
    tasks: 1,
    needs: [NEED],
    leftMs: 5_000,
    departsMs: NOW_MS + 1_500,
    isDated: true,
    disruptionsLeft: Infinity,
    ...options,
  };
}

const SAVES = { checkpoints: true };
const LASTING = { isLasting: true, leftMs: undefined };
const UNDATED = { isDated: false, departsMs: NOW_MS };

interface PlanCase {
  readonly name: string;
  readonly units: readonly Partial<DepartingUnit>[];
  /** Free cores of each worker that stays. */
  readonly room?: readonly number[];
  readonly actions: readonly DepartureAction[];
}

const { Finish, Move, Wait, RunOn } = DepartureAction;

const CASES: readonly PlanCase[] = [
  { name: "ends in time", units: [{ leftMs: 1_000 }], actions: [Finish] },
  {
    name: "ends in time with the listing of its end just so",
    units: [{ leftMs: 1_350, ...SAVES }],
    room: [4],
    actions: [Finish],
  },
  {
    name: "ends in time, but its listing doesn't",
    units: [{ leftMs: 1_351, ...SAVES }],
    room: [4],
    actions: [Move],
  },
  {
    name: "has a checkpoint and room elsewhere",
    units: [SAVES],
    room: [1],
    actions: [Move],
  },
  { name: "has a checkpoint and no room", units: [SAVES], actions: [Wait] },
  {
    name: "has a checkpoint, no room, and the latest moment has come",
    units: [{ ...SAVES, departsMs: NOW_MS + LATEST_MS }],
    actions: [Move],
  },
  {
    name: "has a checkpoint and ends no later than a late stop would",
    units: [{ ...SAVES, departsMs: NOW_MS, leftMs: 900 }],
    actions: [Finish],
  },
  { name: "starts over elsewhere", units: [{}], room: [1], actions: [Move] },
  { name: "would start over without room", units: [{}], actions: [RunOn] },
  {
    name: "would start over and ends no later than a stop would",
    units: [{ departsMs: NOW_MS + 100, leftMs: 900 }],
    room: [1],
    actions: [Finish],
  },
  {
    name: "would start over and has no estimate",
    units: [{ leftMs: undefined }],
    room: [1],
    actions: [RunOn],
  },
  {
    name: "has a checkpoint and no estimate",
    units: [{ ...SAVES, leftMs: undefined }],
    actions: [Wait],
  },
  {
    name: "has a checkpoint on a worker that may leave at any time",
    units: [{ ...SAVES, ...UNDATED }],
    actions: [Move],
  },
  {
    name: "would start over on a worker that may leave at any time",
    units: [UNDATED],
    room: [1],
    actions: [RunOn],
  },
  {
    name: "would start over on a worker that remains beyond its time",
    units: [{ departsMs: NOW_MS }],
    room: [1],
    actions: [RunOn],
  },
  {
    name: "may not have started yet",
    units: [{ ...SAVES, isConfirmed: false }],
    room: [1],
    actions: [RunOn],
  },
  {
    name: "is a gang with room for its members there",
    units: [{ tasks: 5, needs: [NEED, NEED] }],
    room: [1, 1],
    actions: [Move],
  },
  {
    name: "is a gang with room for one of two members",
    units: [{ tasks: 5, needs: [NEED, NEED] }],
    room: [1],
    actions: [RunOn],
  },
  {
    name: "is a gang with checkpoints and room for one of two members",
    units: [{ ...SAVES, tasks: 5, needs: [NEED, NEED] }],
    room: [1],
    actions: [Wait],
  },
  {
    name: "lasts and may be taken away",
    units: [{ ...LASTING, disruptionsLeft: 1 }],
    room: [1],
    actions: [Move],
  },
  {
    name: "lasts and has no room elsewhere",
    units: [{ ...LASTING, disruptionsLeft: 1 }],
    actions: [RunOn],
  },
  {
    name: "lasts while all that may be away are away",
    units: [{ ...LASTING, disruptionsLeft: 0 }],
    room: [1],
    actions: [RunOn],
  },
  {
    name: "lasts twice, and one may be taken away",
    units: [
      { ...LASTING, disruptionsLeft: 1 },
      { ...LASTING, disruptionsLeft: 1 },
    ],
    room: [2],
    actions: [Move, RunOn],
  },
  {
    name: "is best-effort beside other work and room for one",
    units: [{ ...SAVES, isBestEffort: true, priority: 0 }, SAVES],
    room: [1],
    actions: [Wait, Move],
  },
  {
    name: "is less urgent than other work and room for one",
    units: [{ ...SAVES, priority: 2 }, { ...SAVES, priority: 0 }],
    room: [1],
    actions: [Wait, Move],
  },
];

// Guards against work that is lost though a stop would have saved it, and
// against stops that lose more than the departure.
describe("work on a worker that leaves", () => {
  for (const { name, units, room = [], actions } of CASES) {
    it(`that ${name}: ${actions.join(", ")}`, () => {
      const named = units.map((unit, index) =>
        unitOf({ name: `a.0.0.${index}`, ...unit })
      );
      const { decisions } = planDeparture({
        now: NOW_MS,
        stopMs: STOP_MS,
        units: named,
        room: new FreeRoom(() => room.map((count) => roomOf(count))),
      });
      expect(
        named.map((unit) =>
          decisions.find((decision) => decision.unit === unit)?.action
        ),
      ).to.deep.equal(actions);
    });
  }

  it("stays where it is by the policy without a notice", () => {
    const policy = policyFor(undefined, 1);
    const room = new FreeRoom(() => [roomOf(4)]);
    const { decisions } = policy.plan({
      now: NOW_MS,
      stopMs: STOP_MS,
      units: [unitOf(SAVES)],
      room,
    });
    expect(policy).to.be.instanceOf(LeaveAlone);
    expect(decisions.map(({ action }) => action)).to.deep.equal([RunOn]);
  });

  it("stays where it is by the notice of an earlier process", () => {
    const notice = { incarnation: 1, departsMs: NOW_MS, isDated: true };
    expect(policyFor(notice, 2)).to.be.instanceOf(LeaveAlone);
    expect(policyFor(notice, 1)).not.to.be.instanceOf(LeaveAlone);
  });
});

describe("room for departing work", () => {
  it("is only on workers with the required label", () => {
    const room = new FreeRoom(() => [roomOf(1), roomOf(1, ["big"])]);
    const need = { ...NEED, requiredLabel: "big" };
    expect(room.without([need])).not.to.equal(undefined);
    expect(room.without([need, need])).to.equal(undefined);
  });

  it("leaves out what was promised before", () => {
    const room = new FreeRoom(() => [roomOf(2)], [NEED]);
    expect(room.without([NEED])).not.to.equal(undefined);
    expect(room.without([NEED, NEED])).to.equal(undefined);
  });
});
