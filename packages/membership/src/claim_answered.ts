import { createCommand } from "@mustardweir/kernel";
import type { CommitResult, EffectReply } from "@mustardweir/protocol";
import type { OwnershipRow } from "./ownership.ts";

/** The write of an ownership row that a result belongs to. */
export interface ClaimContext {
  readonly unit: string;
  readonly row: OwnershipRow;
  /** Version of the row if the write succeeds. */
  readonly version: number;
  /** Whether the unit had no row before. */
  readonly isFirstOwner: boolean;
}

/** Dispatched with the result of the write of an ownership row. */
export const CLAIM_ANSWERED = createCommand<
  EffectReply<ClaimContext, CommitResult>
>(
  "claim-answered",
);
