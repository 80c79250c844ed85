import { createStateKey, type Update } from "@mustardweir/kernel";
import {
  Outcome,
  type Refusal,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import type { ConfigurationDocument } from "./document.ts";
import type { EditRequest } from "./edit_request.ts";

/** Pause before a step is tried again, in milliseconds. */
const EDIT_RETRY_MS = 300;

/** The steps of an edit. */
export enum EditStage {
  /** The version that the edit was made against is not in force here yet. */
  AwaitingBase = "awaiting-base",
  StoringBody = "storing-body",
  /** A majority of the schedulers is being told that the edit may come. */
  Announcing = "announcing",
  Committing = "committing",
  /** A commit may have taken effect; the row tells. */
  ReadingBack = "reading-back",
}

/** An edit that has not been told yet. */
export interface PendingEdit {
  readonly id: number;
  readonly request: EditRequest;
  readonly expiresAt: number;
  readonly nonce: string;
  stage: EditStage;
  /** Grows with each step sent; answers to older ones are ignored. */
  attempt: number;
  /** When the step in flight was sent. */
  sentAt?: number;
  retryAt: number;
  /** True when a commit was sent whose fate is not known. */
  isUncertain: boolean;
  body: string;
  document?: ConfigurationDocument;
  rowVersion: number;
}

/** The edits under way at this entry. */
export interface EditorState {
  nextId: number;
  /** The highest version that this entry has committed. */
  accepted: number;
  readonly edits: Map<number, PendingEdit>;
}

/** Goes along with each step and tells late answers apart. */
export interface StepContext {
  readonly editId: number;
  readonly attempt: number;
}

/** State of the edits that are being written. */
export const EDITOR = createStateKey<EditorState>("configuration-editor");

/**
 * Notes that a step of `edit` is in flight.
 *
 * @example
 * ```ts
 * const step = replyTo(BODY_STORED, nextStep(edit, update));
 * ```
 */
export function nextStep(edit: PendingEdit, update: Update): StepContext {
  edit.attempt += 1;
  edit.sentAt = update.now;
  return { editId: edit.id, attempt: edit.attempt };
}

/**
 * The edit whose step in flight was answered; undefined for a late answer.
 *
 * @example
 * ```ts
 * const edit = takeStep(answered.context, update);
 * ```
 */
export function takeStep(
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
 * Lets the step be sent again after a pause; a commit is announced anew.
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
  edit.retryAt = update.now + EDIT_RETRY_MS;
}

/**
 * Refuses an edit of a version that is not the newest.
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
      `The edit was made against version ${request.ifMatch}; the configuration's version is ${found}`,
  });
}

/**
 * Says that the edit may be in force or may come into force.
 *
 * @example
 * ```ts
 * const result: EditResult = err(unknownRefusal());
 * ```
 */
export function unknownRefusal(): Refusal {
  return refuse(RefusalReason.StoreUnavailable, {
    message:
      "The edit may have been accepted; read the configuration before the next edit",
    outcome: Outcome.Unknown,
  });
}
