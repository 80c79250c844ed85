import { expect } from "chai";
import type { PermitPolicy } from "@mustardweir/model";
import { permitsToRenew, RenewalScope, renewalScope } from "./permits_ahead.ts";
import { HoldNothing } from "./policies.ts";
import {
  isOpenTo,
  isSmaller,
  isWide,
  keptRoom,
  ReleaseCause,
  type WideStage,
} from "./reservation.ts";
import { ReservationBook } from "./reservation_book.ts";
import { accelerators, NOW, runOf, wideStage } from "./test_stages.ts";

function stageOf(name: string, rank = 2) {
  return wideStage({ name, rank, size: accelerators(6) });
}

function reserve(
  book: ReservationBook,
  stage: WideStage,
  { workers = [`${stage.name}-1`, `${stage.name}-2`], inMs = 2_000 } = {},
) {
  const plan = { readyMs: NOW + inMs, slowness: 1, stops: [] };
  const held = new Map(workers.map((id) => [id, 1]));
  return book
    .add(stage, { ...plan, workers: held }, { now: NOW, permitMs: 700 });
}

const ASK_CASES = [
  { name: "work that ends before", asker: { upperMs: 2_000 }, isOpen: true },
  { name: "work that ends after", asker: { upperMs: 2_001 }, isOpen: false },
  { name: "work on a slow worker", asker: { upperMs: 1_500 }, slowness: 1.5 },
  { name: "lasting work", asker: { upperMs: Infinity } },
  { name: "urgent work", asker: { rank: 1 }, isOpen: true },
  { name: "work of the same rank", asker: { rank: 2 } },
  { name: "the stage itself", asker: { name: "a" }, isOpen: true },
];

describe("room held for a stage", () => {
  for (const { name, asker, slowness = 1, isOpen = false } of ASK_CASES) {
    it(`is ${isOpen ? "open" : "closed"} to ${name}`, () => {
      const reservation = reserve(new ReservationBook(), stageOf("a"))!;
      reservation.slowness = slowness;
      const asking = { name: "b", rank: 4, upperMs: 60_000, ...asker };
      expect(isOpenTo(reservation, asking, NOW)).to.equal(isOpen);
    });
  }

  const run = (inMs: number, taken: number) =>
    runOf("r", inMs, { size: accelerators(taken) });
  const KEPT_CASES = [
    { name: "all that is needed if nothing ends", runs: [], kept: 6 },
    { name: "what is left", runs: [run(2_000, 4), run(2_001, 2)], kept: 2 },
    { name: "nothing if enough ends", runs: [run(2_000, 7)], kept: 0 },
  ];
  for (const { name, runs, kept } of KEPT_CASES) {
    it(`keeps ${name} from work that fits beside it`, () => {
      const reservation = reserve(new ReservationBook(), stageOf("a"))!;
      expect(keptRoom(reservation, "a-1", runs).accelerators).to.equal(kept);
    });
  }

  const WIDTH_CASES = [[4, false], [5, true], [9, false]] as const;
  for (const [size, expected] of WIDTH_CASES) {
    it(`${expected ? "is" : "isn't"} called for by ${size} of 8`, () => {
      expect(isWide(accelerators(size), accelerators(8))).to.equal(expected);
    });
  }
});

// Guards against room held where each end of a task frees enough.
const SMALLER_CASES = [
  { other: 2, of: 6, expected: true },
  { other: 3, of: 6, expected: false },
  { other: 6, of: 6, expected: false },
  { other: 8, of: 6, expected: false },
];

describe("other work beside a wide stage", () => {
  for (const { other, of, expected } of SMALLER_CASES) {
    it(`${expected ? "is" : "isn't"} smaller with ${other} beside ${of}`, () => {
      const capacity = accelerators(8);
      expect(isSmaller(accelerators(other), {
        size: accelerators(of),
        capacity,
      })).to.equal(expected);
    });
  }
});

interface BookCase {
  readonly name: string;
  /** What happened before; nothing by default. */
  readonly before?: (book: ReservationBook) => unknown;
  readonly rank?: number;
  readonly atMs?: number;
  readonly mayReserve?: boolean;
}

function reserveTwo(book: ReservationBook): void {
  reserve(book, stageOf("a"));
  reserve(book, stageOf("b", 4));
}

/** Makes as many reservations as all pools may have, none in the tested one. */
function reserveEight(book: ReservationBook): void {
  for (let index = 0; index < 8; index++) {
    const pool = `p${index >> 1}`;
    reserve(book, { ...stageOf(`s${index}`, 4), pool });
  }
}

function end(book: ReservationBook, cause: ReleaseCause): void {
  book.remove(reserve(book, stageOf("x"))!, { cause, now: NOW + 4_000 });
}

const BOOK_CASES: readonly BookCase[] = [
  { name: "the first stage", mayReserve: true },
  { name: "a third", before: reserveTwo, rank: 4 },
  { name: "a third before one", before: reserveTwo, rank: 3, mayReserve: true },
  { name: "a ninth of all pools", before: reserveEight, rank: 4 },
  {
    name: "a ninth of all pools before one",
    before: reserveEight,
    rank: 3,
    mayReserve: true,
  },
  {
    name: "a stage whose pool has just been planned",
    before: (book) => reserve(book, stageOf("a")),
    atMs: NOW + 39,
  },
  {
    name: "a stage whose reservation has just expired",
    before: (book) => end(book, ReleaseCause.Expired),
    atMs: NOW + 7_999,
  },
  {
    name: "such a stage after the pause",
    before: (book) => end(book, ReleaseCause.Expired),
    atMs: NOW + 8_000,
    mayReserve: true,
  },
  {
    name: "a stage whose worker has left",
    before: (book) => end(book, ReleaseCause.WorkerLeft),
    mayReserve: true,
  },
  {
    name: "any stage if nothing is to be held",
    before: (book) => book.policy = new HoldNothing(),
  },
];

describe("the reservations", () => {
  for (const { name, before, rank, atMs, mayReserve = false } of BOOK_CASES) {
    it(`${mayReserve ? "admit" : "refuse"} ${name}`, () => {
      const book = new ReservationBook();
      before?.(book);
      expect(book.mayReserve(stageOf("x", rank), atMs ?? NOW + 100))
        .to.equal(mayReserve);
    });
  }

  const SHARE_CASES = [
    { workers: 3, held: 0, free: 1 },
    { workers: 68, held: 0, free: 17 },
    { workers: 68, held: 5, free: 12 },
    { workers: 16, held: 5, free: 0 },
  ];
  for (const { workers, held, free } of SHARE_CASES) {
    it(`leave ${free} of ${workers} workers beside ${held} that are held`, () => {
      const book = new ReservationBook();
      const ids = Array.from({ length: held }, (_, index) => `w${index}`);
      if (held > 0) {
        reserve(book, stageOf("a"), { workers: ids });
      }
      expect(book.freeWorkers("wide", workers)).to.equal(free);
    });
  }

  // Guards against workers that lose their hold with the one it replaced.
  const TAKEN_CASES = [
    { name: "held for its successor", taken: true, holder: "b" },
    { name: "free without one", taken: false, holder: undefined },
  ];
  for (const { name, taken, holder } of TAKEN_CASES) {
    it(`leave a worker of a replaced reservation ${name}`, () => {
      const book = new ReservationBook();
      const replaced = reserve(book, stageOf("a"), { workers: ["w"] })!;
      if (taken) {
        reserve(book, stageOf("b", 1), { workers: ["w"] });
      }
      book.remove(replaced, { cause: ReleaseCause.Outranked, now: NOW });
      expect(book.holderOf("w")?.stage.name).to.equal(holder);
    });
  }

  // Guards against stages that search the pool for workers in every pass.
  const JUDGE_CASES = [
    { name: "a stage that hasn't been yet", stage: "b", others: 0, inMs: 0 },
    { name: "a stage that has just been", others: 0, inMs: 199, may: false },
    { name: "a stage that was before", others: 0, inMs: 200 },
    { name: "one stage of many", stage: "b", others: 62, inMs: 199 },
    { name: "one too many", stage: "b", others: 63, inMs: 199, may: false },
    { name: "one of too many later", stage: "b", others: 63, inMs: 200 },
  ];
  for (const { name, stage = "a", others, inMs, may = true } of JUDGE_CASES) {
    it(`${may ? "let" : "don't let"} ${name} be judged ahead`, () => {
      const book = new ReservationBook();
      book.noteJudged("a", NOW);
      for (let index = 0; index < others; index++) {
        book.noteJudged(`s${index}`, NOW);
      }
      expect(book.mayJudge(stage, NOW + inMs)).to.equal(may);
    });
  }

  const PLAN_CASES = [
    { name: "room that is free already", inMs: 0, isHeld: false },
    { name: "room to come", inMs: 500, isHeld: true },
    { name: "room that is too far off", inMs: 60_001, isHeld: false },
  ];
  for (const { name, inMs, isHeld } of PLAN_CASES) {
    it(`${isHeld ? "hold" : "don't hold"} ${name}`, () => {
      const book = new ReservationBook();
      expect(reserve(book, stageOf("a"), { inMs }) !== undefined)
        .to.equal(isHeld);
      expect(book.active.length).to.equal(isHeld ? 1 : 0);
      expect(book.holderOf("a-1") !== undefined).to.equal(isHeld);
    });
  }

  const LIMIT_CASES = [[300, 2_000], [2_000, 4_000]] as const;
  for (const [inMs, limitMs] of LIMIT_CASES) {
    it(`end after ${limitMs} ms if room is expected in ${inMs} ms`, () => {
      const { deadlineMs } = reserve(new ReservationBook(), stageOf("a"), {
        inMs,
      })!;
      expect(deadlineMs - NOW).to.equal(limitMs);
    });
  }
});

const POLICY: PermitPolicy = { decideMs: 600, perWorkerMs: 10, validMs: 2_000 };

// A query takes 770 ms and permits are wanted from 1 s before.
const RENEWAL_CASES = [
  { name: "isn't renewed long before", inMs: 0 },
  { name: "is renewed in time", inMs: 3_300, isRenewed: true },
  { name: "isn't renewed while valid", inMs: 3_300, validInMs: 4_100 },
  { name: "is renewed ahead", inMs: 5_200, validInMs: 5_900, isRenewed: true },
];

describe("a permit for a held worker", () => {
  for (
    const { name, inMs, validInMs = -Infinity, isRenewed } of RENEWAL_CASES
  ) {
    it(name, () => {
      const reservation = reserve(new ReservationBook(), stageOf("a"), {
        inMs: 5_000,
      })!;
      const renewed = permitsToRenew(reservation, {
        policy: POLICY,
        validUntilMs: () => NOW + validInMs,
        now: NOW + inMs,
      });
      expect(renewed.length).to.equal(isRenewed ? 2 : 0);
    });
  }
});

// Guards against wide tasks that wait for held room while another worker has
// room and only its permit is over.
const SCOPE_CASES = [
  { isReserved: false, isGang: false, scope: RenewalScope.All },
  { isReserved: false, isGang: true, scope: RenewalScope.All },
  { isReserved: true, isGang: false, scope: RenewalScope.Startable },
  { isReserved: true, isGang: true, scope: RenewalScope.None },
];

describe("the permits that a query renews", () => {
  for (const { isReserved, isGang, scope } of SCOPE_CASES) {
    const stage = isGang ? "a gang" : "single tasks";
    it(`are ${scope} for ${stage} ${isReserved ? "with" : "without"} room`, () => {
      expect(renewalScope({ isReserved, isGang })).to.equal(scope);
    });
  }
});
