import { createCommand } from "@mustardweir/kernel";
import type { ConfigurationSection, Refusal } from "@mustardweir/model";
import type { ReplyTo } from "@mustardweir/protocol";
import type { Result } from "neverthrow";

/** The new version, or why there is none. */
export type EditResult = Result<number, Refusal>;

/** An edit of one section, to be checked and written. */
export interface EditRequest {
  readonly section: ConfigurationSection;
  /** The section's new body or a `SectionPatch`. */
  readonly body: unknown;
  /** The version that the edit was made against. */
  readonly ifMatch: number;
  readonly ttlMs: number;
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  readonly wallMs: number;
  readonly replyTo: ReplyTo<EditResult>;
}

/** Edits a section; the answer comes when the edit is committed or refused. */
export const EDIT_CONFIGURATION = createCommand<EditRequest>(
  "edit-configuration",
);
