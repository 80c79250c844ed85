import { createStateKey } from "@mustardweir/kernel";
import type { RowPut } from "@mustardweir/protocol";
import type { JournalRecord } from "./records.ts";
import type { WriteRateLimit } from "./write_rate_limit.ts";

/** Prefix of the table keys of journal rows. */
export const JOURNAL_PREFIX = "journal/";

/** Digits of the epoch and the sequence in row keys; keys sort by age. */
const KEY_DIGITS = 10;

/** The journal of one home on its owner. */
export interface HomeJournal {
  readonly team: string;
  readonly epoch: number;
  readonly ownershipVersion: number;
  /** Whether the rows have been read, so that records can be written. */
  isOpen: boolean;
  nextSeq: number;
  /** Records that are not part of a write yet. */
  pending: JournalRecord[];
  /** Keys of the rows in the table, oldest first. */
  rowKeys: string[];
  /** Number of characters in the rows of the last snapshot. */
  snapshotChars: number;
  /** Number of characters in the rows since the last snapshot. */
  charsSince: number;
}

/** The part of a write that belongs to one home. */
export interface HomeBatch {
  readonly team: string;
  readonly epoch: number;
  readonly records: readonly JournalRecord[];
  readonly puts: readonly RowPut[];
  /** Keys of the rows that a snapshot in `puts` replaces; else empty. */
  readonly deletes: readonly string[];
}

/** The journals of the homes, and the write in flight. */
export interface JournalState {
  readonly homes: Map<string, HomeJournal>;
  /** Batches of the write in flight; undefined if there is none. */
  inFlight: readonly HomeBatch[] | undefined;
  /** Batches to write one by one, after a conflict of their common write. */
  isolated: HomeBatch[];
  /** When the write in flight was first sent; retries don't change it. */
  inFlightSince: number;
  /** When failed reads and writes are retried; Infinity if none has failed. */
  retryAt: number;
  readonly rateLimit: WriteRateLimit;
}

/** State key of the journal. */
export const JOURNAL = createStateKey<JournalState>("journal");

/**
 * Returns the prefix of the row keys of one team.
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
 * Returns the key of the row with sequence number `seq` of a home.
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
