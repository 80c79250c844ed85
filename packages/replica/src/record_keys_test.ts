import { expect } from "chai";
import { readProgress } from "./record_keys.ts";

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
