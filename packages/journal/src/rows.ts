import type { RowPut } from "@mustardweir/protocol";
import { type HomeJournal, journalKey } from "./journal_state.ts";
import type { JournalRecord } from "./records.ts";

/** Number of rows of one home from which a snapshot may replace them. */
const SNAPSHOT_ROWS = 64;

/** Number of rows of one home from which a snapshot always replaces them. */
const MAX_ROWS = 512;

/** A record that would exceed this many characters starts another row. */
const MAX_ROW_CHARS = 200_000;

/**
 * Returns true if a snapshot should replace the rows: there are many, and those
 * since the last snapshot are at least as long as it, so that snapshots at most
 * double the amount written.
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
 * Composes the next rows of a home, at least one, from records in their order.
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
 * Returns the total number of characters in the values of rows.
 *
 * @example
 * ```ts
 * const chars = countChars(puts);
 * ```
 */
export function countChars(rows: readonly { readonly value: string }[]) {
  return rows.reduce((sum, { value }) => sum + value.length, 0);
}
