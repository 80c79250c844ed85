import { NO_RESOURCES } from "@mustardweir/model";
import { expect } from "chai";
import { Locality, type RackRequest } from "./locality.ts";
import {
  DecisionReason,
  ElsewhereCause,
  type PlacementDecision,
} from "./placement_decision.ts";
import { expectedRest, type Rack, type RackWorker } from "./rack_outlook.ts";
import { MAX_WAITS } from "./rack_waits.ts";
import { MAX_FACTOR_QUEUES, MIN_FACTOR_RUNS } from "./remote_factors.ts";
import { MAX_WAIT_MS, WaitPolicyKind } from "./wait_policy.ts";

const SIZE = { ...NO_RESOURCES, cpuMillis: 1_000, memoryMb: 500 };
const CAPACITY = { ...NO_RESOURCES, cpuMillis: 4_000, memoryMb: 8_000 };

/** Returns a full worker whose tasks end after the given times. */
function worker(
  id: string,
  endsMs: readonly number[],
  options: Partial<RackWorker> = {},
): RackWorker {
  return {
    id,
    capacity: CAPACITY,
    free: { ...NO_RESOURCES, memoryMb: 6_000 },
    maxTasks: Infinity,
    readyMs: 0,
    running: endsMs.map((meanMs) => ({ size: SIZE, meanMs, upperMs: meanMs })),
    ...options,
  };
}

function rack(name: string, ...workers: readonly RackWorker[]): Rack {
  return {
    name,
    usable: workers.map(({ id }) => id),
    workers,
    queuedTasks: 0,
  };
}

const SOON = rack("r1", worker("w1", [300, 300]), worker("w2", [300, 400]));
const LATE = rack("r2", worker("w3", Array(4).fill(4_000)));
const LOST = rack("r1");

const REQUEST: RackRequest = {
  stage: "j1.0.0",
  queue: "plans",
  tasks: 4,
  isGang: false,
  maxPerWorker: Infinity,
  size: SIZE,
  nearMs: 1_000,
  slackMs: 1_500,
  rank: 2,
  isUrgent: false,
  yields: false,
  heldTasks: 0,
  racks: [SOON],
};

function withFactor(factor: number | undefined): Locality {
  const locality = new Locality();
  locality.reset(factor);
  return locality;
}

/** Returns the decisions as `reason:tasks`, with the cause or the rack. */
function describeAll(decisions: readonly PlacementDecision[]): string[] {
  return decisions.map((decision) =>
    decision.reason === DecisionReason.WaitUntil
      ? `wait ${decision.tasks} for ${decision.rack}`
      : decision.reason === DecisionReason.PlaceElsewhere
      ? `elsewhere ${decision.tasks}, ${decision.cause}`
      : `in rack ${decision.tasks}`
  );
}

interface PlanCase {
  readonly name: string;
  readonly request?: Partial<RackRequest>;
  /** Remote factor of the settings; 3 by default. */
  readonly factor?: number | null;
  /** A stage that waits already. */
  readonly before?: Partial<RackRequest>;
  readonly expected: readonly string[];
}

const OTHER = { stage: "j2.0.0" };
const TEN = rack(
  "r1",
  worker("w1", [100, 200, 300, 400]),
  worker("w2", [
    500,
    600,
    700,
    5_000,
  ]),
);

// The loss elsewhere is 2 s by default, so a wait may take 1 s.
const PLAN_CASES: readonly PlanCase[] = [
  { name: "a rack about to have room", expected: ["wait 4 for r1"] },
  {
    name: "a rack that is full for long",
    request: { racks: [LATE] },
    expected: ["elsewhere 4, wait-too-long"],
  },
  {
    name: "a rack of which all workers are lost",
    request: { racks: [LOST] },
    expected: ["elsewhere 4, rack-lost"],
  },
  {
    name: "a rack that the placement policy has refused",
    request: { racks: [{ ...SOON, workers: [] }] },
    expected: ["elsewhere 4, rack-lost"],
  },
  {
    name: "more tasks than the rack gets room for in time",
    request: { tasks: 10, racks: [TEN] },
    expected: ["wait 7 for r1", "elsewhere 3, wait-too-long"],
  },
  {
    name: "at most one task on each worker",
    request: {
      maxPerWorker: 1,
      racks: [rack("r1", worker("w1", [300, 300], { maxTasks: 1 }))],
    },
    expected: ["wait 1 for r1", "elsewhere 3, wait-too-long"],
  },
  {
    name: "a gang whose last member has room in time",
    request: { isGang: true },
    expected: ["wait 4 for r1"],
  },
  {
    name: "a gang whose last member has no room in time",
    request: { isGang: true, tasks: 8, racks: [TEN] },
    expected: ["elsewhere 8, wait-too-long"],
  },
  {
    name: "a gang wider than its rack",
    request: { isGang: true, tasks: 9 },
    expected: ["elsewhere 9, rack-too-small"],
  },
  {
    name: "a gang that any rack will do for",
    request: { isGang: true, racks: [LATE, SOON] },
    expected: ["wait 4 for r1"],
  },
  {
    name: "room that is free but not yet permitted",
    request: {
      racks: [rack("r1", worker("w1", [], { free: CAPACITY, readyMs: 50 }))],
    },
    expected: ["wait 4 for r1"],
  },
  {
    name: "tasks of the rack that never end",
    request: { racks: [rack("r1", worker("w1", Array(4).fill(Infinity)))] },
    expected: ["elsewhere 4, wait-too-long"],
  },
  {
    name: "urgent tasks with enough slack",
    request: { isUrgent: true, rank: 0, slackMs: 450 },
    expected: ["wait 4 for r1"],
  },
  {
    name: "urgent tasks with too little slack for the last of them",
    request: { isUrgent: true, rank: 0, slackMs: 350 },
    expected: ["wait 3 for r1", "elsewhere 1, risks-objective"],
  },
  {
    name: "an objective that would be met elsewhere and missed by the wait",
    request: { slackMs: 390 },
    factor: 1.39,
    expected: ["elsewhere 4, wait-too-long"],
  },
  {
    name: "an objective that the wait would miss by the upper time",
    request: {
      slackMs: 1_100,
      racks: [
        rack("r1", {
          ...worker("w1", []),
          running: [{ size: SIZE, meanMs: 300, upperMs: 1_200 }],
        }),
      ],
      tasks: 1,
    },
    factor: 2,
    expected: ["elsewhere 1, risks-objective"],
  },
  {
    name: "a team over its rate that nobody is in the way of",
    request: { yields: true },
    expected: ["wait 4 for r1"],
  },
  {
    name: "a team over its rate beside others that want the rack",
    request: { yields: true, rank: 4_002 },
    before: OTHER,
    expected: ["elsewhere 4, yields-to-others"],
  },
  {
    name: "a rack whose room goes to work before it",
    before: OTHER,
    expected: ["elsewhere 4, wait-too-long"],
  },
  {
    name: "a rack that work of a later rank waits for",
    before: { ...OTHER, rank: 4 },
    expected: ["wait 4 for r1"],
  },
  {
    name: "a rack that can start all the work that prefers it",
    request: { tasks: 2, racks: [{ ...SOON, queuedTasks: 2 }] },
    expected: ["wait 2 for r1"],
  },
  {
    name: "more work that prefers the rack than it can start in time",
    request: { tasks: 2, racks: [{ ...SOON, queuedTasks: 4 }] },
    expected: ["elsewhere 2, rack-oversubscribed"],
  },
  {
    name: "work that prefers the rack and leaves room for a part",
    request: { racks: [{ ...SOON, queuedTasks: 2 }] },
    expected: ["wait 2 for r1", "elsewhere 2, rack-oversubscribed"],
  },
  {
    name: "room that is held while others want it",
    request: { heldTasks: 8, racks: [rack("r1", worker("w1", [400])), LATE] },
    expected: ["elsewhere 4, wait-too-long"],
  },
  {
    name: "an unknown remote factor",
    factor: null,
    expected: ["elsewhere 4, factor-unknown"],
  },
  {
    name: "a remote factor of 1",
    factor: 1,
    expected: ["elsewhere 4, wait-too-long"],
  },
  {
    name: "a long-running task",
    request: { nearMs: Infinity },
    expected: ["elsewhere 4, long-running"],
  },
];

// Guards against waits that cost more than a run elsewhere.
describe("the decision to wait for a rack", () => {
  for (const { name, request, factor = 3, before, expected } of PLAN_CASES) {
    it(`is made for ${name}`, () => {
      const locality = withFactor(factor ?? undefined);
      if (before !== undefined) {
        locality.plan({ ...REQUEST, ...before }, 0);
      }
      const { decisions } = locality.plan({ ...REQUEST, ...request }, 0);
      expect(describeAll(decisions)).to.deep.equal(expected);
    });
  }

  it("lets as many of many jobs wait as get room in time", () => {
    const locality = withFactor(3);
    const racks = [
      rack("r1", worker("w1", [200, 200, 900, 900]), SOON.workers[1]!),
    ];
    const waiting = Array.from({ length: 20 }, (_, index) =>
      locality.plan(
        { ...REQUEST, stage: `j${index}.0.0`, tasks: 1, racks },
        index,
      )).filter(({ decisions }) =>
        decisions[0]!.reason === DecisionReason.WaitUntil
      );
    expect(waiting).to.have.length(6);
  });

  it("keeps a bounded number of waits", () => {
    const locality = withFactor(3);
    const racks = [rack("r1", worker("w1", Array(999).fill(300)))];
    const causes = Array.from(
      { length: MAX_WAITS + 3 },
      (_, index) =>
        locality.plan(
          { ...REQUEST, stage: `j${index}.0.0`, tasks: 1, racks },
          0,
        ).decisions[0]!,
    );
    expect(describeAll(causes.slice(MAX_WAITS))).to.deep.equal(
      Array(3).fill(`elsewhere 1, ${ElsewhereCause.TooManyWaits}`),
    );
  });
});

interface EndCase {
  readonly name: string;
  readonly later: Partial<RackRequest>;
  readonly atMs: number;
  readonly expected: string;
}

const END_CASES: readonly EndCase[] = [
  {
    name: "goes on while room is expected",
    later: {},
    atMs: 200,
    expected: "wait 4 for r1",
  },
  {
    name: "ends when the expected time has passed",
    later: {},
    atMs: 501,
    expected: "elsewhere 4, gave-up",
  },
  {
    name: "ends when a worker of the rack is lost",
    later: { racks: [rack("r1", SOON.workers[0]!)] },
    atMs: 200,
    expected: "elsewhere 4, worker-lost",
  },
  {
    name: "ends when the whole rack is lost",
    later: { racks: [LOST] },
    atMs: 200,
    expected: "elsewhere 4, worker-lost",
  },
  {
    name: "goes on when a permit for a worker is refused",
    later: {
      racks: [{ ...SOON, workers: [worker("w1", Array(4).fill(200))] }],
    },
    atMs: 200,
    expected: "wait 4 for r1",
  },
  {
    name: "ends when the room has gone to longer tasks",
    later: { racks: [{ ...SOON, workers: LATE.workers }] },
    atMs: 200,
    expected: "elsewhere 4, wait-too-long",
  },
];

// Guards against waits that never end, or begin again.
describe("a wait", () => {
  for (const { name, later, atMs, expected } of END_CASES) {
    it(name, () => {
      const locality = withFactor(3);
      locality.plan(REQUEST, 0);
      const { decisions, change } = locality.plan(
        { ...REQUEST, ...later },
        atMs,
      );
      expect(describeAll(decisions)).to.deep.equal([expected]);
      const hasEnded = expected.startsWith("elsewhere");
      expect(change !== undefined).to.equal(hasEnded);
      expect(locality.waits.open).to.equal(hasEnded ? 0 : 1);
      const again = locality.plan(REQUEST, atMs + 1);
      expect(describeAll(again.decisions)).to.deep.equal([expected]);
    });
  }

  it("is fulfilled when no task is left, and forgotten", () => {
    const locality = withFactor(3);
    locality.plan(REQUEST, 0);
    const change = locality.noteAllPlaced(REQUEST.stage, 310);
    expect(change).to.include({
      ended: DecisionReason.PlaceInRack,
      waitedMs: 310,
    });
    expect(locality.waits.find(REQUEST.stage)).to.equal(undefined);
  });

  it("is shorter for a queue whose waits don't come true, for a time", () => {
    const locality = withFactor(3);
    const reasonAt = (now: number) =>
      locality.plan({ ...REQUEST, stage: `at-${now}` }, now).decisions[0]!
        .reason;
    let now = 0;
    while (reasonAt(now) === DecisionReason.WaitUntil) {
      locality.plan({ ...REQUEST, stage: `at-${now}` }, now + 501);
      now += 600;
    }
    expect(now).to.be.within(1_200, 6_000);
    expect(reasonAt(now + 60_000)).to.equal(DecisionReason.WaitUntil);
  });
});

const REST_CASES = [
  { name: "that just began", elapsedMs: 0, percent: 0, meanMs: 1_000 },
  { name: "without progress", elapsedMs: 700, percent: 0, meanMs: 300 },
  { name: "by its progress", elapsedMs: 700, percent: 20, meanMs: 800 },
  { name: "that is overdue", elapsedMs: 5_000, percent: 0, meanMs: 2_000 },
];

// Guards against waits for tasks whose estimates are far off.
describe("the expected rest of a task", () => {
  for (const { name, meanMs, ...run } of REST_CASES) {
    it(`is known of one ${name}`, () => {
      const rest = expectedRest({
        meanMs: 1_000,
        upperMs: 1_500,
        sinceListedMs: 0,
        ...run,
      });
      expect(rest.meanMs).to.equal(meanMs);
      expect(rest.upperMs).to.be.at.least(meanMs);
    });
  }
});

const KIND_CASES = [
  { kind: WaitPolicyKind.NeverWait, waits: 0, untilMs: 0 },
  { kind: WaitPolicyKind.FixedWait, waits: 1, untilMs: 500 },
  { kind: WaitPolicyKind.SkippedChances, waits: 8, untilMs: MAX_WAIT_MS },
  { kind: WaitPolicyKind.ExpectedTime, waits: 100, untilMs: 500 },
];

describe("kinds of wait policy", () => {
  for (const { kind, waits, untilMs } of KIND_CASES) {
    it(`${kind} waits within its bound`, () => {
      const locality = withFactor(3);
      locality.usePolicy(kind);
      const first = locality.plan(REQUEST, 0).decisions[0]!;
      expect(first.reason === DecisionReason.WaitUntil ? first.untilMs : 0)
        .to.equal(untilMs);
      let count = first.reason === DecisionReason.WaitUntil ? 1 : 0;
      while (
        count < 100 && kind !== WaitPolicyKind.FixedWait &&
        locality.plan(REQUEST, 1).decisions[0]!.reason ===
          DecisionReason.WaitUntil
      ) {
        count++;
      }
      expect(count).to.equal(waits);
    });
  }
});

const FACTOR_CASES = [
  { name: "as measured", ratio: 1.5, runs: 100, known: 3, expected: 1.5 },
  { name: "of the settings", ratio: 1.5, runs: 5, known: 3, expected: 3 },
  { name: "bounded below", ratio: 0.5, runs: 100, known: 3, expected: 1 },
  { name: "bounded above", ratio: 99, runs: 100, known: 3, expected: 8 },
];

describe("the remote factor of a queue", () => {
  for (const { name, ratio, runs, known, expected } of FACTOR_CASES) {
    it(`is ${name}`, () => {
      const { factors, factorOf } = record(withFactor(known), ratio, runs);
      expect(factorOf("plans")).to.be.closeTo(expected, 0.01);
      expect(factors.measured.length).to.equal(runs < MIN_FACTOR_RUNS ? 0 : 1);
    });
  }

  it("is kept for a bounded number of queues", () => {
    const locality = withFactor(undefined);
    for (let index = 0; index <= MAX_FACTOR_QUEUES; index++) {
      record(locality, 2, MIN_FACTOR_RUNS, `q${index}`);
    }
    expect(locality.factors.measured).to.have.length(MAX_FACTOR_QUEUES);
    expect(locality.factorOf("q0")).to.equal(undefined);
  });
});

function record(
  locality: Locality,
  ratio: number,
  runs: number,
  queue = "plans",
) {
  for (let index = 0; index < runs; index++) {
    const spread = 0.8 + 0.4 * (index % 5) / 4;
    for (const isRemote of [false, true]) {
      const ranMs = 900 * spread * (isRemote ? ratio : 1);
      locality.factors.record({ queue, isRemote, ranMs, estimateMs: 600 });
    }
  }
  return {
    factors: locality.factors,
    factorOf: (name: string) => locality.factorOf(name),
  };
}
