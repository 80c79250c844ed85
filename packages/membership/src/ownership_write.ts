import type { Update } from "@mustardweir/kernel";
import {
  type CommitResult,
  EffectKind,
  nodeEffect,
  type replyTo,
} from "@mustardweir/protocol";
import { OWNERSHIP_PREFIX, type OwnershipRow } from "./ownership.ts";

/** A row that is written when it still has the version. */
export interface RowWrite {
  readonly row: OwnershipRow;
  readonly version: number;
  readonly replyTo: ReturnType<typeof replyTo<never, CommitResult>>;
}

/** Writes the ownership row of a unit. */
export function emitRow(update: Update, unit: string, write: RowWrite): void {
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
