import type { Effect } from "@mustardweir/kernel";
import type { EffectKind } from "./effects.ts";
import type { ReplyTo } from "./reply.ts";

/** Kinds of order to a worker. */
export enum OrderKind {
  Start = "start",
  Stop = "stop",
  /** Renews the lease, acknowledges ended attempts and lists attempts. */
  Renew = "renew",
}

/** Identifies an attempt of a task on a worker. */
export interface AttemptName {
  /** jobId.occurrence.stage.index */
  readonly task: string;
  readonly attempt: number;
}

/** An order; workers reject tokens below the highest received. */
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
    /** The worker may discard ended attempts up to this number. */
    readonly acknowledged: number;
    /** End of the lease on the worker's clock; absent to only list. */
    readonly leaseUntilMs?: number;
    /** Longest wait for an attempt to end, in milliseconds; 0 for none. */
    readonly waitMs: number;
  };

/** Outcome of an order. */
export enum OrderOutcome {
  /** The worker carried out the order. */
  Obeyed = "obeyed",
  /** The worker has received a higher token. */
  Fenced = "fenced",
  /** An attempt with this or a higher number has ended there. */
  Stale = "stale",
  /** The lease had expired on arrival. */
  Late = "late",
  NoRoom = "no-room",
  /** The permit is not valid. */
  NoPermit = "no-permit",
  /** Another incarnation of the worker replied. */
  OtherIncarnation = "other-incarnation",
  /** The worker rejected the order as malformed. */
  Rejected = "rejected",
  /** The worker is unhealthy and did not carry out the order. */
  Unhealthy = "unhealthy",
  /** No usable reply; the order may have been, or may yet be, carried out. */
  NoAnswer = "no-answer",
}

/** How an attempt ended. */
export enum AttemptEnd {
  Done = "done",
  Failed = "failed",
  Stopped = "stopped",
  /** The worker's lease expired. */
  Lapsed = "lapsed",
  /** Another member of the gang ended. */
  Broken = "broken",
  /** The other members of the gang did not start in time. */
  Alone = "alone",
}

/** A running attempt. */
export interface RunningAttempt extends AttemptName {
  readonly checkpoint: string;
  /** Progress, 0 to 100; 100 for a lasting task that is serving. */
  readonly percent: number;
  /** Tail latency in milliseconds of a serving task, else processors in use. */
  readonly load: number;
}

/** An ended attempt; `number` increases within a worker's incarnation. */
export interface EndedAttempt extends AttemptName {
  readonly number: number;
  readonly end: AttemptEnd;
  readonly checkpoint: string;
}

/** A worker's report of its running and ended attempts. */
export interface WorkerListing {
  /** Start time of the worker's incarnation; 0 when it isn't reported. */
  readonly incarnation: number;
  readonly running: readonly RunningAttempt[];
  /**
   * Whether runs were left out because they can't be read: an attempt that isn't
   * listed may still run. False by default.
   */
  readonly isPartial?: boolean;
  /** The ends with the lowest numbers, in ascending order. */
  readonly ended: readonly EndedAttempt[];
  /**
   * Whether there may be later ends than those listed: an attempt that isn't
   * listed may have ended. False by default.
   */
  readonly hasMoreEnds?: boolean;
}

/**
 * Returns whether the listing shows all attempts of the worker, so that one that
 * is missing neither runs there nor has ended there since the ends that were
 * acknowledged.
 *
 * @example
 * ```ts
 * isComplete({ incarnation: 1, running: [], ended: [], hasMoreEnds: true }); // false
 * ```
 */
export function isComplete(
  { isPartial = false, hasMoreEnds = false }: WorkerListing,
): boolean {
  return !isPartial && !hasMoreEnds;
}

/** The result of {@link OrderWorkerEffect}. */
export interface OrderResult {
  readonly outcome: OrderOutcome;
  /** The worker's clock when it replied, in milliseconds. */
  readonly clockMs?: number;
  /** Set when an {@link OrderKind.Renew} was obeyed. */
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

/** How a permit query to the external placement policy ended. */
export enum PermitResultKind {
  Judged = "judged",
  /** Too many queries are pending. */
  Busy = "busy",
  Unavailable = "unavailable",
}

/** The result of {@link AskPermitsEffect}. */
export type PermitResult =
  | {
    readonly kind: PermitResultKind.Judged;
    readonly permits: readonly Permit[];
    readonly validMs: number;
  }
  | { readonly kind: PermitResultKind.Busy }
  | { readonly kind: PermitResultKind.Unavailable };

/** Queries the external placement policy for workers that may run a stage. */
export interface AskPermitsEffect extends Effect {
  readonly kind: EffectKind.AskPermits;
  /** jobId.occurrence.stage */
  readonly stage: string;
  readonly workers: readonly string[];
  readonly timeoutMs: number;
  readonly replyTo: ReplyTo<PermitResult>;
}
