import { createCommand } from "@mustardweir/kernel";
import type { ReplyTo } from "@mustardweir/protocol";

/**
 * Announces an edit to a majority of the schedulers, so that no majority
 * confirms the older version while the outcome of the edit is unknown. Replies
 * with true once a majority has received it; there is no other reply.
 */
export const ANNOUNCE_EDIT = createCommand<{
  /** The version that the edit will create. */
  readonly version: number;
  readonly replyTo: ReplyTo<true>;
}>("announce-edit");
