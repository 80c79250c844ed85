import { EndReason } from "@mustardweir/model";
import { expect } from "chai";
import type { HomeJournal } from "./journal_state.ts";
import { type JournalRecord, JournalRecordKind } from "./records.ts";
import { composeRows, isSnapshotDue } from "./rows.ts";

interface RowsCase {
  readonly name: string;
  readonly records: number;
  /** Number of characters in the id of each job. */
  readonly idChars: number;
  readonly rows: number;
}

const ROWS_CASES: readonly RowsCase[] = [
  { name: "no records into one row", records: 0, idChars: 1, rows: 1 },
  { name: "a few records into one row", records: 9, idChars: 20, rows: 1 },
  {
    name: "long records into separate rows",
    records: 3,
    idChars: 150_000,
    rows: 3,
  },
  {
    name: "one record over the limit into one row",
    records: 1,
    idChars: 300_000,
    rows: 1,
  },
];

interface DueCase {
  readonly name: string;
  readonly rows: number;
  readonly snapshotChars: number;
  readonly charsSince: number;
  readonly isDue: boolean;
}

const DUE_CASES: readonly DueCase[] = [
  {
    name: "few rows",
    rows: 63,
    snapshotChars: 0,
    charsSince: 9_000,
    isDue: false,
  },
  {
    name: "many rows without an earlier snapshot",
    rows: 64,
    snapshotChars: 0,
    charsSince: 9_000,
    isDue: true,
  },
  {
    name: "rows shorter than the last snapshot",
    rows: 100,
    snapshotChars: 9_001,
    charsSince: 9_000,
    isDue: false,
  },
  {
    name: "too many rows, however short",
    rows: 512,
    snapshotChars: 9_001,
    charsSince: 9_000,
    isDue: true,
  },
];

function createHome(part: Partial<HomeJournal> = {}): HomeJournal {
  return {
    team: "storefront",
    epoch: 1,
    ownershipVersion: 1,
    isOpen: true,
    nextSeq: 0,
    pending: [],
    rowKeys: [],
    snapshotChars: 0,
    charsSince: 0,
    ...part,
  };
}

function createRecord(index: number, idChars: number): JournalRecord {
  return {
    kind: JournalRecordKind.TaskEnded,
    jobId: "j".repeat(idChars),
    taskIndex: index,
    reason: EndReason.Completed,
  };
}

describe("rows of the journal", () => {
  for (const { name, records, idChars, rows } of ROWS_CASES) {
    it(`puts ${name}`, () => {
      const list = Array.from(
        { length: records },
        (_, index) => createRecord(index, idChars),
      );
      const puts = composeRows(createHome(), list);
      expect(puts).to.have.length(rows);
      const read = puts.flatMap(({ value }) => JSON.parse(value));
      expect(read).to.deep.equal(list);
      const keys = puts.map(({ key }) => key);
      expect(keys).to.deep.equal([...new Set(keys)].sort());
    });
  }

  for (const { name, rows, isDue, ...chars } of DUE_CASES) {
    it(`are due for a snapshot with ${name}: ${isDue}`, () => {
      const rowKeys = Array.from({ length: rows }, (_, index) => `${index}`);
      expect(isSnapshotDue(createHome({ rowKeys, ...chars }))).to.equal(isDue);
    });
  }
});
