import { createStateKey } from "@mustardweir/kernel";
import type { RowPut } from "@mustardweir/protocol";
import type { JournalRecord } from "./records.ts";
import type { WritePace } from "./write_pace.ts";

/** Prefix of the table keys of journal rows. */
export const JOURNAL_PREFIX = "journal/";

/** Digits of epoch and sequence in row keys, so that keys sort by age. */
const KEY_DIGITS = 10;

/** The journal of one home on its owner. */
export interface HomeJournal {
  readonly team: string;
  readonly epoch: number;
  readonly ownershipVersion: number;
  isOpen: boolean;
  nextSeq: number;
  /** Records that no write carries yet. */
  pending: JournalRecord[];
  /** Keys of the rows in the table, oldest first. */
  rowKeys: string[];
  /** Characters of the rows of the last snapshot, and of those since. */
  snapshotChars: number;
  charsSince: number;
}

/** What a write in flight carries of one home. */
export interface HomeBatch {
  readonly team: string;
  readonly epoch: number;
  readonly records: readonly JournalRecord[];
  readonly puts: readonly RowPut[];
  /** Rows that the puts replace: they are a snapshot. */
  readonly deletes: readonly string[];
}

/** What waits to be written for each home, and the write in flight. */
export interface JournalState {
  readonly homes: Map<string, HomeJournal>;
  /** Batches of the write in flight; undefined when none is. */
  inFlight: readonly HomeBatch[] | undefined;
  /** Batches to be written one by one, after a conflict of their group. */
  separately: HomeBatch[];
  /** When the write in flight was first sent; it is sent again on failure. */
  inFlightSince: number;
  /** A failed write is sent again after this time. */
  retryAt: number;
  readonly pace: WritePace;
}

/** State key of the journal. */
export const JOURNAL = createStateKey<JournalState>("journal");

/**
 * Prefix of the rows of one team.
 *
 * @example
 * ```ts
 * journalPrefix("search"); // prefix of every row of team "search"
 * ```
 */
export function journalPrefix(team: string): string {
  return `${JOURNAL_PREFIX}${team}/`;
}

/**
 * Key of the row that a home writes as its `seq`-th.
 *
 * @example
 * ```ts
 * const put = { key: journalKey(home, home.nextSeq), value };
 * ```
 */
export function journalKey(home: HomeJournal, seq: number): string {
  const epoch = String(home.epoch).padStart(KEY_DIGITS, "0");
  const position = String(seq).padStart(KEY_DIGITS, "0");
  return `${journalPrefix(home.team)}${epoch}.${position}`;
}
