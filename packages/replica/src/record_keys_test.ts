import { expect } from "chai";
import { readProgress, readSummary } from "./record_keys.ts";

const VALID = { state: "running", marks: { "0.0": ".1" }, checkpoints: {} };

const PROGRESS_CASES: readonly {
  readonly name: string;
  readonly value: unknown;
  readonly isRead: boolean;
}[] = [
  { name: "a valid record", value: VALID, isRead: true },
  { name: "an end", value: { ...VALID, endedMs: 5 }, isRead: true },
  {
    name: "a field of a newer version",
    value: { ...VALID, x: 1 },
    isRead: true,
  },
  {
    name: "crashes",
    value: { ...VALID, crashes: { "0.0.1": 2 } },
    isRead: true,
  },
  {
    name: "crashes that are text",
    value: { ...VALID, crashes: { "0.0.1": "2" } },
    isRead: false,
  },
  {
    name: "a list of crashes",
    value: { ...VALID, crashes: [2] },
    isRead: false,
  },
  {
    name: "a negative number of crashes",
    value: { ...VALID, crashes: { "0.0.1": -1 } },
    isRead: false,
  },
  { name: "no object", value: 5, isRead: false },
  { name: "an unknown state", value: { ...VALID, state: "x" }, isRead: false },
  { name: "no marks", value: { ...VALID, marks: undefined }, isRead: false },
  { name: "a list of marks", value: { ...VALID, marks: [] }, isRead: false },
  {
    name: "a mark that is a number",
    value: { ...VALID, marks: { "0.0": 1 } },
    isRead: false,
  },
  {
    name: "a checkpoint that is null",
    value: { ...VALID, checkpoints: { a: null } },
    isRead: false,
  },
  {
    name: "an end that is text",
    value: { ...VALID, endedMs: "5" },
    isRead: false,
  },
];

describe("progress records", () => {
  for (const { name, value, isRead } of PROGRESS_CASES) {
    it(`${isRead ? "are" : "aren't"} read with ${name}`, () => {
      const progress = readProgress(JSON.stringify(value));
      expect(progress.isOk()).to.equal(isRead);
      if (isRead) {
        expect(progress._unsafeUnwrap()).to.deep.equal(value);
      }
    });
  }
});

const SUMMARY = {
  nodeId: "n0",
  epoch: 3,
  waiting: { plans: 4 },
  largestWorkers: {},
  atMs: 5,
  openJobs: 6,
  waits: {},
};
const RUN_TIMES = { plans: [60, 100] };

// Guards against a summary that is lost for one of its parts.
const SUMMARY_CASES: readonly {
  readonly name: string;
  readonly runTimes?: unknown;
  readonly read: unknown;
}[] = [
  { name: "without run times, of an earlier version", read: undefined },
  { name: "with run times", runTimes: RUN_TIMES, read: RUN_TIMES },
  {
    name: "with a queue that its reader has to leave out",
    runTimes: { ...RUN_TIMES, bad: "x" },
    read: { ...RUN_TIMES, bad: "x" },
  },
  { name: "with run times that are text", runTimes: "x", read: {} },
  { name: "with run times that are null", runTimes: null, read: {} },
  { name: "with a list of run times", runTimes: [1], read: {} },
];

describe("the summary of the domain", () => {
  for (const { name, runTimes, read } of SUMMARY_CASES) {
    it(`is read ${name}`, () => {
      const text = JSON.stringify({ ...SUMMARY, runTimes });
      const summary = readSummary(text)._unsafeUnwrap();
      expect(summary.runTimes).to.deep.equal(read);
      expect(summary).to.include({ nodeId: "n0", epoch: 3, openJobs: 6 });
    });
  }
});
