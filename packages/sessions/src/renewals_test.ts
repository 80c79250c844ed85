import { NO_RESOURCES } from "@mustardweir/model";
import { expect } from "chai";
import { EndRate, PacedByEnds, Unpaced } from "./renewal_pacing.ts";
import { renewalWaitMs } from "./renewals.ts";
import { AttemptPhase, type SessionAttempt } from "./session_state.ts";

const NOW_MS = 10_000;

interface WaitCase {
  readonly name: string;
  /** Ages of the attempts on the worker, in milliseconds. */
  readonly agesMs: readonly number[];
  /** Time since the worker was last heard from, in milliseconds. */
  readonly silentMs?: number;
  readonly waitMs: number;
}

// Guards against a reply for each start, and against a renewal that is held
// after the first moments of the latest attempt are over.
const CASES: readonly WaitCase[] = [
  { name: "nothing that has just started", agesMs: [700, 2_000], waitMs: 800 },
  { name: "a task that has just started", agesMs: [0], waitMs: 500 },
  { name: "a task that started before", agesMs: [420], waitMs: 80 },
  { name: "tasks that started in turn", agesMs: [450, 200, 10], waitMs: 490 },
  { name: "old and new tasks", agesMs: [5_000, 300], waitMs: 200 },
  {
    name: "a task that started before the worker fell silent",
    agesMs: [900],
    silentMs: 600,
    waitMs: 0,
  },
];

function attemptOf(ageMs: number): SessionAttempt {
  return {
    task: `0.0.0.${ageMs}`,
    attempt: 1,
    phase: AttemptPhase.Running,
    size: NO_RESOURCES,
    token: 1,
    sinceMs: NOW_MS - ageMs,
    startedMs: NOW_MS - ageMs,
    incarnation: 1,
    isForeign: false,
  };
}

describe("a renewal that a worker holds", () => {
  for (const { name, agesMs, silentMs = 0, waitMs } of CASES) {
    it(`waits ${waitMs} ms with ${name}`, () => {
      const attempts = new Map(
        agesMs.map((ageMs) => [String(ageMs), attemptOf(ageMs)]),
      );
      const session = { attempts, heardMs: NOW_MS - silentMs };
      expect(renewalWaitMs(session, NOW_MS)).to.equal(waitMs);
    });
  }
});

interface PaceCase {
  readonly name: string;
  /** Ends on all workers in each of three seconds, evenly spread. */
  readonly endsPerS: number;
  readonly cores?: number;
  readonly gapMs: readonly [min: number, max: number];
}

// Guards against an owner that is saturated by exchanges of one end each, and
// against ends that are read late although it has time.
const PACES: readonly PaceCase[] = [
  { name: "no ends", endsPerS: 0, cores: 1.35, gapMs: [0, 0] },
  { name: "a calm fleet", endsPerS: 450, cores: 1.35, gapMs: [0, 0] },
  {
    name: "a calm fleet, small owner",
    endsPerS: 200,
    cores: 0.675,
    gapMs: [0, 0],
  },
  { name: "rising load", endsPerS: 850, cores: 1.35, gapMs: [25, 35] },
  { name: "a burst", endsPerS: 1_600, cores: 1.35, gapMs: [60, 60] },
  { name: "an owner without a limit", endsPerS: 5_000, gapMs: [0, 0] },
];

describe("the gap between a reply and the next renewal", () => {
  for (const { name, endsPerS, cores, gapMs: [min, max] } of PACES) {
    it(`is ${min} to ${max} ms with ${name}`, () => {
      const rate = new EndRate();
      for (let tick = 1; tick <= 300; tick++) {
        rate.add(endsPerS / 100, tick * 10);
      }
      const load = { endsPerS: rate.perS(3_000), cores };
      expect(new PacedByEnds().gapMs(load)).to.be.within(min, max);
      expect(new Unpaced().gapMs()).to.equal(0);
    });
  }

  it("is over seconds after a burst", () => {
    const rate = new EndRate();
    rate.add(5_000, 0);
    const load = { endsPerS: rate.perS(4_000), cores: 1.35 };
    expect(new PacedByEnds().gapMs(load)).to.equal(0);
  });
});
