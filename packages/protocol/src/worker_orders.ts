import type { Effect } from "@mustardweir/kernel";
import type { EffectKind } from "./effects.ts";
import type { ReplyTo } from "./reply.ts";

/** Kinds of order to a worker. */
export enum OrderKind {
  Start = "start",
  Stop = "stop",
  /** Renews the lease, acknowledges ends and lists what runs. */
  Renew = "renew",
}

/** Names an attempt of a task on a worker. */
export interface AttemptName {
  /** jobId.occurrence.stage.index */
  readonly task: string;
  readonly attempt: number;
}

/** An order; workers ignore those with a lower token than they have seen. */
export type WorkerOrder =
  | AttemptName & {
    readonly kind: OrderKind.Start;
    readonly token: number;
    readonly payload: string;
    /** End of the lease on the worker's clock, in milliseconds. */
    readonly leaseUntilMs: number;
    readonly checkpoint?: string;
    readonly permit?: string;
  }
  | AttemptName & { readonly kind: OrderKind.Stop; readonly token: number }
  | {
    readonly kind: OrderKind.Renew;
    readonly token: number;
    /** Ends up to this number may be forgotten. */
    readonly acknowledged: number;
    /** Absent to list only. */
    readonly leaseUntilMs?: number;
    /** Longest wait for an end, in milliseconds; 0 for none. */
    readonly waitMs: number;
  };

/** What came of an order. */
export enum OrderOutcome {
  Obeyed = "obeyed",
  /** A higher token has been seen. */
  Fenced = "fenced",
  /** An attempt as high as this one has ended there. */
  Stale = "stale",
  /** The lease was over on arrival. */
  Late = "late",
  NoRoom = "no-room",
  /** The permit doesn't hold. */
  NoPermit = "no-permit",
  /** Another life of the worker answered. */
  OtherIncarnation = "other-incarnation",
  /** The order is malformed for the worker. */
  Rejected = "rejected",
  /** The worker is unhealthy and has done nothing. */
  Unhealthy = "unhealthy",
  /** It may have been carried out, or may be later. */
  NoAnswer = "no-answer",
}

/** How an attempt ended. */
export enum AttemptEnd {
  Done = "done",
  Failed = "failed",
  Stopped = "stopped",
  /** The worker's lease was over. */
  Lapsed = "lapsed",
  /** Another member of the gang ended. */
  Broken = "broken",
  /** The rest of the gang did not come in time. */
  Alone = "alone",
}

/** An attempt that runs. */
export interface RunningAttempt extends AttemptName {
  readonly checkpoint: string;
  /** Done so far, 0 to 100; 100 for a lasting task at work. */
  readonly percent: number;
  /** Tail latency in milliseconds of a serving task, else processors in use. */
  readonly load: number;
}

/** An attempt that ended; numbers grow within a life of the worker. */
export interface EndedAttempt extends AttemptName {
  readonly number: number;
  readonly end: AttemptEnd;
  readonly checkpoint: string;
}

/** What a worker lists. */
export interface WorkerListing {
  /** Start time of the worker's life; 0 when it isn't told. */
  readonly incarnation: number;
  readonly running: readonly RunningAttempt[];
  readonly ended: readonly EndedAttempt[];
}

/** The answer to {@link OrderWorkerEffect}. */
export interface OrderResult {
  readonly outcome: OrderOutcome;
  /** The worker's clock when it answered, in milliseconds. */
  readonly clockMs?: number;
  /** With {@link OrderKind.Renew} that was obeyed. */
  readonly listing?: WorkerListing;
}

/** Sends an order to a worker. */
export interface OrderWorkerEffect extends Effect {
  readonly kind: EffectKind.OrderWorker;
  readonly workerId: string;
  readonly address: string;
  readonly order: WorkerOrder;
  readonly timeoutMs: number;
  readonly replyTo: ReplyTo<OrderResult>;
}

/** A worker's permit to run the tasks of a stage. */
export interface Permit {
  readonly workerId: string;
  readonly permit: string;
}

/** How a question to the external placement policy ended. */
export enum PermitResultKind {
  Judged = "judged",
  /** Too many questions wait. */
  Busy = "busy",
  Unavailable = "unavailable",
}

/** The answer to {@link AskPermitsEffect}. */
export type PermitResult =
  | {
    readonly kind: PermitResultKind.Judged;
    readonly permits: readonly Permit[];
    readonly validMs: number;
  }
  | { readonly kind: PermitResultKind.Busy }
  | { readonly kind: PermitResultKind.Unavailable };

/** Asks the external placement policy which workers may run a stage. */
export interface AskPermitsEffect extends Effect {
  readonly kind: EffectKind.AskPermits;
  /** jobId.occurrence.stage */
  readonly stage: string;
  readonly workers: readonly string[];
  readonly timeoutMs: number;
  readonly replyTo: ReplyTo<PermitResult>;
}
