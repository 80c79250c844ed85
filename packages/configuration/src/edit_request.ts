import { createCommand } from "@mustardweir/kernel";
import type { ConfigurationSection, Refusal } from "@mustardweir/model";
import type { ReplyTo } from "@mustardweir/protocol";
import type { Result } from "neverthrow";

/** The new version, or the refusal of the edit. */
export type EditResult = Result<number, Refusal>;

/** A request to edit one section. */
export interface EditRequest {
  readonly section: ConfigurationSection;
  /** The section's new body or a `SectionPatch`. */
  readonly body: unknown;
  /** The version on which the edit is based. */
  readonly ifMatch: number;
  /** Time after which the edit expires, in milliseconds. */
  readonly ttlMs: number;
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  readonly wallMs: number;
  readonly replyTo: ReplyTo<EditResult>;
}

/** Edits a section; replies when the edit is committed, refused or expired. */
export const EDIT_CONFIGURATION = createCommand<EditRequest>(
  "edit-configuration",
);
