import { createCommand } from "@mustardweir/kernel";
import type { Answered, CommitResult } from "@mustardweir/protocol";
import type { OwnershipRow } from "./ownership.ts";

/** The claim that an answer belongs to. */
export interface ClaimContext {
  readonly unit: string;
  readonly row: OwnershipRow;
  readonly version: number;
  readonly isFirstOwner: boolean;
}

/** Brings the answer to the write of an ownership row. */
export const CLAIM_ANSWERED = createCommand<
  Answered<ClaimContext, CommitResult>
>(
  "claim-answered",
);
