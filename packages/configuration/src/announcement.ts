import { createCommand } from "@mustardweir/kernel";
import type { ReplyTo } from "@mustardweir/protocol";

/**
 * Asks for an edit to be announced to a majority of the schedulers, so that
 * no majority vouches for the older version while the fate of the edit is not
 * known. Answered true once the majority has it, or not at all.
 */
export const ANNOUNCE_EDIT = createCommand<{
  /** The version that the edit would make. */
  readonly version: number;
  readonly replyTo: ReplyTo<true>;
}>("announce-edit");
