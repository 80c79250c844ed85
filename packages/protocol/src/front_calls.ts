import { createCommand, type Effect } from "@mustardweir/kernel";
import type { StagedJobSpec, StagedJobState } from "@mustardweir/model";
import type { EffectKind } from "./effects.ts";

/** Kinds of call to the front. */
export enum FrontCallKind {
  Submit = "submit",
  Status = "status",
  Cancel = "cancel",
  Waiting = "waiting",
  Unsupported = "unsupported",
}

/** A submitter's call, decoded but not yet checked. */
export interface FrontCall {
  readonly callId: string;
  readonly kind: FrontCallKind;
  readonly host: string;
  /** The prefix identifies the queue, the rest identifies the job. */
  readonly path: string;
  /** The API key; empty when the caller sent none. */
  readonly key: string;
  /** Set for a submission. */
  readonly body?: FrontBody;
}

/** The decoded body of a submission, or why it can't be decoded. */
export type FrontBody =
  | { readonly isReadable: true; readonly spec: StagedJobSpec }
  | { readonly isReadable: false; readonly problem: string };

/** Kinds of answer to a {@link FrontCall}. */
export enum FrontAnswerKind {
  Accepted = "accepted",
  Cancelled = "cancelled",
  State = "state",
  Waiting = "waiting",
  BadRequest = "bad-request",
  Unauthenticated = "unauthenticated",
  UnknownQueue = "unknown-queue",
  UnknownJob = "unknown-job",
  /** Not accepted, will never run; the caller may retry later. */
  Overloaded = "overloaded",
  /** Not accepted, will never run; the node can't serve calls now. */
  Unavailable = "unavailable",
  /** Unknown whether the call took effect. */
  Unknown = "unknown",
}

/** The answer to a {@link FrontCall}. */
export type FrontAnswer =
  | { readonly kind: FrontAnswerKind.Accepted | FrontAnswerKind.Cancelled }
  | {
    readonly kind: FrontAnswerKind.State;
    readonly state: StagedJobState;
  }
  | { readonly kind: FrontAnswerKind.Waiting; readonly waiting: number }
  | {
    readonly kind:
      | FrontAnswerKind.BadRequest
      | FrontAnswerKind.Unauthenticated
      | FrontAnswerKind.UnknownQueue
      | FrontAnswerKind.UnknownJob
      | FrontAnswerKind.Unknown;
    readonly reason: string;
  }
  | {
    readonly kind: FrontAnswerKind.Overloaded | FrontAnswerKind.Unavailable;
    readonly reason: string;
    readonly retryAfterMs: number;
  };

/** Runs when a call has been received completely. */
export const FRONT_CALL_RECEIVED = createCommand<FrontCall>(
  "front-call-received",
);

/** Answers a {@link FrontCall}. */
export interface AnswerFrontEffect extends Effect {
  readonly kind: EffectKind.AnswerFront;
  readonly callId: string;
  readonly answer: FrontAnswer;
}
