import type { RowPut } from "@mustardweir/protocol";
import { type HomeJournal, journalKey } from "./journal_state.ts";
import type { JournalRecord } from "./records.ts";

/** Rows of one home before a snapshot may take their place. */
const SNAPSHOT_ROWS = 64;

/** Rows of one home after which a snapshot takes their place at any cost. */
const MAX_ROWS = 512;

/** Records that go beyond this many characters start another row. */
const MAX_ROW_CHARS = 200_000;

/**
 * True when a snapshot should take the place of the rows: there are many, and
 * they are as long as the last snapshot, so that snapshots at most double what
 * is written.
 *
 * @example
 * ```ts
 * const needsSnapshot = homes.filter(isSnapshotDue);
 * ```
 */
export function isSnapshotDue(home: HomeJournal): boolean {
  const { rowKeys, charsSince, snapshotChars } = home;
  return rowKeys.length >= MAX_ROWS ||
    (rowKeys.length >= SNAPSHOT_ROWS && charsSince >= snapshotChars);
}

/**
 * Spreads records over the next rows of a home, in order.
 *
 * @example
 * ```ts
 * const puts = composeRows(home, records);
 * ```
 */
export function composeRows(
  home: HomeJournal,
  records: readonly JournalRecord[],
): RowPut[] {
  const puts: RowPut[] = [];
  let texts: string[] = [];
  let chars = 0;
  const finishRow = () => {
    puts.push({
      key: journalKey(home, home.nextSeq),
      value: `[${texts.join(",")}]`,
    });
    home.nextSeq += 1;
    texts = [];
    chars = 0;
  };
  for (const record of records) {
    const text = JSON.stringify(record);
    if (texts.length > 0 && chars + text.length > MAX_ROW_CHARS) {
      finishRow();
    }
    texts.push(text);
    chars += text.length;
  }
  finishRow();
  return puts;
}

/**
 * Characters of the values of rows.
 *
 * @example
 * ```ts
 * const chars = countChars(puts);
 * ```
 */
export function countChars(rows: readonly { readonly value: string }[]) {
  return rows.reduce((sum, { value }) => sum + value.length, 0);
}
