import { NO_RESOURCES, type WorkerInfo, WorkerState } from "@mustardweir/model";
import { expect } from "chai";
import { afterSuspension, nextNotice, type Notice } from "./notice.ts";

const NOW_MS = 10_000;
const SEEN = { now: NOW_MS, repliedMs: NOW_MS - 400 };
const LISTED = { now: NOW_MS, repliedMs: undefined };

function infoOf(options: Partial<WorkerInfo>): WorkerInfo {
  return {
    id: "w1",
    incarnation: 7,
    pool: "ovens",
    address: "w1:1",
    zone: "a",
    state: WorkerState.Draining,
    capacity: NO_RESOURCES,
    labels: [],
    rack: "",
    ...options,
  };
}

function noticeOf(departsMs: number, isDated: boolean): Notice {
  return { incarnation: 7, departsMs, isDated };
}

const LEAVES = infoOf({ remainingMs: 1_700 });

const CASES = [
  { name: "no time", info: infoOf({}) },
  { name: "a change that was just read", info: LEAVES, is: [11_450, true] },
  {
    name: "a change that was read after an outage of the feed",
    info: LEAVES,
    at: { now: NOW_MS, repliedMs: NOW_MS - 1_001 },
    is: [NOW_MS, false],
  },
  {
    name: "a change that a slow call has read",
    info: LEAVES,
    at: { now: NOW_MS, repliedMs: NOW_MS - 950 },
    is: [11_250, true],
  },
  { name: "a listing", info: LEAVES, at: LISTED, is: [NOW_MS, false] },
  {
    name: "the same time once more",
    known: noticeOf(10_300, true),
    info: LEAVES,
    is: [10_300, true],
  },
  {
    name: "the same time in a later listing",
    known: noticeOf(10_300, true),
    info: LEAVES,
    at: LISTED,
    is: [10_300, true],
  },
  {
    name: "a shorter time in a later listing",
    known: noticeOf(15_000, true),
    info: LEAVES,
    at: LISTED,
    is: [NOW_MS, false],
  },
  {
    name: "a shorter time than before",
    known: noticeOf(15_000, true),
    info: LEAVES,
    is: [11_450, true],
  },
  {
    name: "a changed copy of a notice of unknown age",
    known: noticeOf(9_000, false),
    info: LEAVES,
    is: [9_000, false],
  },
  {
    name: "no time in a later copy",
    known: noticeOf(10_300, true),
    info: infoOf({}),
    is: [10_300, true],
  },
  {
    name: "its withdrawal",
    known: noticeOf(10_300, true),
    info: infoOf({ state: WorkerState.Ready }),
  },
  {
    name: "that of another process",
    known: { ...noticeOf(10_300, true), incarnation: 6 },
    info: LEAVES,
    is: [11_450, true],
  },
  {
    name: "another process without a time",
    known: { ...noticeOf(10_300, true), incarnation: 6 },
    info: infoOf({}),
  },
].map((each) => ({ known: undefined, at: SEEN, is: undefined, ...each }));

// Guards against a countdown that starts again when a registration is read
// again, and against trust in a notice of unknown age.
describe("the notice that follows from a registration", () => {
  for (const { name, known, info, at, is } of CASES) {
    it(`with ${name} ${is ? `is ${is.join(", ")}` : "is none"}`, () => {
      const notice = nextNotice(known, info, at);
      expect(notice && [notice.departsMs, notice.isDated]).to.deep.equal(is);
    });
  }

  it("is over earlier by a suspension that the clock doesn't count", () => {
    expect(afterSuspension(noticeOf(15_000, true), 2_000))
      .to.deep.equal(noticeOf(13_000, true));
  });
});
