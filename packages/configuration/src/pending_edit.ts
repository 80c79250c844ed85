import { createStateKey, type Update } from "@mustardweir/kernel";
import {
  Outcome,
  type Refusal,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import type { ConfigurationDocument } from "./document.ts";
import type { EditRequest } from "./edit_request.ts";

/** Delay before a step is retried, in milliseconds. */
const EDIT_RETRY_DELAY_MS = 300;

/** The steps of an edit. */
export enum EditStage {
  /** The version on which the edit is based is not yet in force here. */
  AwaitingBase = "awaiting-base",
  StoringBody = "storing-body",
  /** The edit is being announced to a majority of the schedulers. */
  Announcing = "announcing",
  Committing = "committing",
  /** A commit may have taken effect; the row is read to find out. */
  ReadingBack = "reading-back",
}

/** An edit whose result has not been reported yet. */
export interface PendingEdit {
  readonly id: number;
  readonly request: EditRequest;
  readonly expiresAt: number;
  readonly nonce: string;
  stage: EditStage;
  /** Increases with each step sent; replies to older ones are ignored. */
  attempt: number;
  /** Time at which the step in flight was sent; absent if there is none. */
  sentAt?: number;
  /** Earliest time at which the current step is sent. */
  retryAt: number;
  /** Whether a commit was sent whose outcome is unknown. */
  isUncertain: boolean;
  body: string;
  document?: ConfigurationDocument;
  /** Version of the row that the commit replaces; 0 if there is none. */
  rowVersion: number;
}

/** The edits in progress at this entry node. */
export interface EditorState {
  nextId: number;
  /** The highest version that this node has committed. */
  accepted: number;
  readonly edits: Map<number, PendingEdit>;
}

/** Sent with each step, to recognize late replies. */
export interface StepContext {
  readonly editId: number;
  readonly attempt: number;
}

/** State key of the edits in progress. */
export const EDITOR = createStateKey<EditorState>("configuration-editor");

/**
 * Records that a step of `edit` is now in flight; returns its context.
 *
 * @example
 * ```ts
 * const step = replyTo(BODY_STORED, beginStep(edit, update));
 * ```
 */
export function beginStep(edit: PendingEdit, update: Update): StepContext {
  edit.attempt += 1;
  edit.sentAt = update.now;
  return { editId: edit.id, attempt: edit.attempt };
}

/**
 * Ends the step in flight and returns its edit; undefined for a late reply.
 *
 * @example
 * ```ts
 * const edit = completeStep(answered.context, update);
 * ```
 */
export function completeStep(
  context: StepContext,
  update: Update,
): PendingEdit | undefined {
  const edit = update.write(EDITOR).edits.get(context.editId);
  if (edit?.attempt !== context.attempt || edit.sentAt === undefined) {
    return undefined;
  }
  edit.sentAt = undefined;
  return edit;
}

/**
 * Schedules a retry of the step; a commit is announced again first.
 *
 * @example
 * ```ts
 * retryLater(edit, update);
 * ```
 */
export function retryLater(edit: PendingEdit, update: Update): void {
  if (edit.stage === EditStage.Committing) {
    edit.stage = EditStage.Announcing;
  }
  edit.retryAt = update.now + EDIT_RETRY_DELAY_MS;
}

/**
 * Returns the refusal of an edit that is not based on the newest version.
 *
 * @example
 * ```ts
 * const refusal = staleRefusal(edit.request, newestVersion);
 * ```
 */
export function staleRefusal(request: EditRequest, newest?: number): Refusal {
  const found = newest === undefined ? "newer" : `${newest}`;
  return refuse(RefusalReason.StaleEdit, {
    message:
      `The edit is based on version ${request.ifMatch}; the configuration's version is ${found}`,
  });
}

/**
 * Returns the refusal of an edit that may have taken effect or still may.
 *
 * @example
 * ```ts
 * const result: EditResult = err(unknownOutcomeRefusal());
 * ```
 */
export function unknownOutcomeRefusal(): Refusal {
  return refuse(RefusalReason.StoreUnavailable, {
    message:
      "The edit may have been accepted; read the configuration before the next edit",
    outcome: Outcome.Unknown,
  });
}
