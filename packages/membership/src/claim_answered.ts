import { createCommand } from "@mustardweir/kernel";
import type { Answered, CommitResult } from "@mustardweir/protocol";
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
  Answered<ClaimContext, CommitResult>
>(
  "claim-answered",
);
