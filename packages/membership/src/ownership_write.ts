import type { Update } from "@mustardweir/kernel";
import {
  type CommitResult,
  EffectKind,
  nodeEffect,
  type replyTo,
} from "@mustardweir/protocol";
import { OWNERSHIP_PREFIX, type OwnershipRow } from "./ownership.ts";

/** A row to write if the stored one still has `version`. */
export interface RowWrite {
  readonly row: OwnershipRow;
  readonly version: number;
  readonly replyTo: ReturnType<typeof replyTo<never, CommitResult>>;
}

/** Writes the ownership row of a unit. */
export function writeRow(update: Update, unit: string, write: RowWrite): void {
  const key = `${OWNERSHIP_PREFIX}${unit}`;
  update.emit(nodeEffect({
    kind: EffectKind.CommitTable,
    transaction: {
      checks: [{ key, version: write.version }],
      puts: [{ key, value: JSON.stringify(write.row) }],
      deletes: [],
    },
    replyTo: write.replyTo,
  }));
}
