import { createCommand, type Effect } from "@mustardweir/kernel";
import type { StagedJobSpec, StagedJobState } from "@mustardweir/model";
import type { EffectKind } from "./effects.ts";

/** What a caller at the front wants. */
export enum FrontCallKind {
  Submit = "submit",
  Status = "status",
  Cancel = "cancel",
  Waiting = "waiting",
  Unsupported = "unsupported",
}

/** A call of a submitter, read but not judged. */
export interface FrontCall {
  readonly callId: string;
  readonly kind: FrontCallKind;
  readonly host: string;
  /** Names the queue by its prefix and the job by what follows. */
  readonly path: string;
  /** Empty when the caller gave none. */
  readonly key: string;
  /** With a submission: the job, or what is wrong with the body. */
  readonly body?: FrontBody;
}

/** The body of a submission. */
export type FrontBody =
  | { readonly isReadable: true; readonly spec: StagedJobSpec }
  | { readonly isReadable: false; readonly problem: string };

/** What a caller is told. */
export enum FrontAnswerKind {
  Accepted = "accepted",
  Cancelled = "cancelled",
  State = "state",
  Waiting = "waiting",
  BadRequest = "bad-request",
  Unauthenticated = "unauthenticated",
  UnknownQueue = "unknown-queue",
  UnknownJob = "unknown-job",
  /** Not accepted, and never run; worth a later try. */
  Overloaded = "overloaded",
  /** Not accepted, and never run; the node can't serve now. */
  Unavailable = "unavailable",
  /** It can't be told whether the call took effect. */
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

/** A call has been read whole. */
export const FRONT_CALL_RECEIVED = createCommand<FrontCall>(
  "front-call-received",
);

/** Answers a {@link FrontCall}. */
export interface AnswerFrontEffect extends Effect {
  readonly kind: EffectKind.AnswerFront;
  readonly callId: string;
  readonly answer: FrontAnswer;
}
