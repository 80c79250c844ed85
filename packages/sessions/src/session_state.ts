import {
  createCommand,
  createStateKey,
  type Update,
} from "@mustardweir/kernel";
import type { Resources, WorkerInfo } from "@mustardweir/model";
import type { EndRate } from "./renewal_pacing.ts";
import type {
  AttemptEnd,
  AttemptName,
  OrderOutcome,
  RunningAttempt,
} from "@mustardweir/protocol";

/** Phase of an attempt on its worker, as known to the owner. */
export enum AttemptPhase {
  /** The start was ordered and is not confirmed yet. */
  Starting = "starting",
  /**
   * Whether the order takes effect is unknown: it got no reply, or carried an
   * outdated token.
   */
  Unknown = "unknown",
  Running = "running",
  Stopping = "stopping",
}

/** An attempt that uses resources of a worker. */
export interface SessionAttempt extends AttemptName {
  phase: AttemptPhase;
  readonly size: Resources;
  /** Token of the latest start or stop order. */
  token: number;
  /**
   * Time at which its start or stop was last sent or confirmed, in
   * milliseconds.
   */
  sinceMs: number;
  /**
   * Time at which its start was ordered, in milliseconds; -Infinity if this
   * owner did not start it.
   */
  readonly startedMs: number;
  /**
   * Incarnation of the worker that has listed it or confirmed its start; 0 if
   * that isn't certain.
   */
  incarnation: number;
  /**
   * Whether the attempt was found on the worker but belongs to no known task.
   */
  readonly isForeign: boolean;
}

/** A handled end whose record is not durable yet. */
interface PendingRecord {
  readonly number: number;
  readonly ticket: number;
}

/** A reading of a worker's clock. */
export interface WorkerClock {
  readonly workerMs: number;
  /** When the order was sent, on this node's clock, in milliseconds. */
  readonly sentMs: number;
  /** When the reply arrived, on this node's clock, in milliseconds. */
  readonly atMs: number;
  /** Incarnation that has shown it; 0 if that isn't certain. */
  readonly incarnation: number;
}

/** State of a worker as known to the owner of the domain. */
export interface Session {
  info: WorkerInfo;
  /**
   * Whether a predecessor may have left attempts on the worker that aren't
   * known yet.
   */
  isInherited: boolean;
  /**
   * Whether it has registered as another incarnation than a predecessor recorded.
   * The predecessor may then have started tasks there without knowing that its
   * clock had begun anew.
   */
  isReborn: boolean;
  /**
   * Whether a reply has shown that its clock began anew, and no listing has told
   * which incarnation that is.
   */
  isListingDue: boolean;
  /** Whether runs of the latest listing can't be read. */
  isPartial: boolean;
  /** Whether the worker is still registered. */
  isRegistered: boolean;
  /** Incarnation that the worker reported; 0 until then. */
  incarnation: number;
  /** Low part of the token; raised to invalidate earlier orders. */
  round: number;
  /**
   * Lowest token with which a renewal invalidates the latest orders that got no
   * reply.
   */
  invalidatingToken: number;
  /**
   * Lowest token with which a renewal shows that the worker, which has begun anew,
   * rejects what was ordered from the former incarnation; 0 once it has.
   */
  restartToken: number;
  /**
   * Token of the latest renewal that acknowledges ends and may still be under
   * way; 0 for none.
   */
  acknowledgingToken: number;
  /**
   * Whether all attempts on the worker are known: it has reported them or its
   * leases have expired.
   */
  isReconciled: boolean;
  /** Latest reading of the worker's clock; undefined before its first reply. */
  clock: WorkerClock | undefined;
  /**
   * Latest end of a lease that was sent, in milliseconds on the worker's clock.
   */
  leaseUntilMs: number;
  /**
   * Time at which leases of a predecessor have expired, if the worker doesn't
   * reply, in milliseconds.
   */
  inheritedLeaseEndMs: number;
  /**
   * Time until which the worker may hold the longest lease that it grants, in
   * milliseconds; -Infinity if it has only been given ordinary ones.
   */
  longLeaseEndMs: number;
  /** Number of the last end handled. */
  handled: number;
  /** Number of the last end recorded. */
  recorded: number;
  /** Number of the last end that this incarnation was told to discard. */
  acknowledged: number;
  readonly pendingRecords: PendingRecord[];
  /**
   * Ticket of the first queued record of this session; 0 before it is queued.
   */
  ticket: number;
  /**
   * Whether the record that tasks may run on the worker is durable; tasks are
   * started only then.
   */
  isRecorded: boolean;
  /** Whether nothing is started on the worker, by a record. */
  isClosed: boolean;
  /** Ticket of the queued removal of that record; 0 if it is to stay. */
  reopenTicket: number;
  /**
   * Store version after which accepted jobs can't have been started on the
   * worker by a predecessor; infinite if it wasn't closed.
   */
  readonly inheritedUpTo: number;
  /** Id of the renewal in flight; 0 for none. */
  renewal: number;
  renewalToken: number;
  nextRenewalMs: number;
  /** Number of renewals in a row that got no usable reply. */
  missed: number;
  answeredMs: number;
  /**
   * Time of the last reply to a renewal or an order, in milliseconds.
   */
  heardMs: number;
  /**
   * Attempts in their first moments when the worker fell silent, whose leases
   * have ended since. Whether the worker has crashed isn't known yet.
   */
  suspected: readonly AttemptName[];
  /**
   * Address at which this incarnation of the worker has replied; empty if none.
   */
  answeredAddress: string;
  readonly attempts: Map<string, SessionAttempt>;
}

/** All sessions of the owner; empty on other nodes. */
export interface Sessions {
  epoch: number;
  isActive: boolean;
  /**
   * First round of a new session, above the rounds of all sessions that were
   * removed in this epoch: their workers may return and have seen them.
   */
  firstRound: number;
  /** Id of the latest renewal. */
  lastRenewalId: number;
  /** Ends that all workers have listed. */
  endRate: EndRate;
  readonly byWorker: Map<string, Session>;
  /** Workers whose session is inherited, see {@link Session.isInherited}. */
  readonly inherited: Set<string>;
  /**
   * Workers whose session has changed since the placement of tasks last
   * looked, so that it need not look at all.
   */
  readonly changed: Set<string>;
}

/** State of the sessions plug-in. */
export const SESSIONS = createStateKey<Sessions>("sessions");

/** Identifies an attempt on a worker. */
export interface PlacedAttempt extends AttemptName {
  readonly workerId: string;
}

/**
 * Dispatched when a worker confirms a start or lists the attempt as running.
 */
export const ATTEMPT_RUNNING = createCommand<PlacedAttempt>("attempt-running");
/** Dispatched when an attempt did not start and can no longer start. */
export const ATTEMPT_REFUSED = createCommand<
  PlacedAttempt & { readonly outcome: OrderOutcome }
>("attempt-refused");
/** Dispatched when a worker reports the end of an attempt. */
export const ATTEMPT_ENDED = createCommand<
  PlacedAttempt & {
    readonly end: AttemptEnd;
    readonly checkpoint: string;
    /** Whether the end is new; false for one that a predecessor recorded. */
    readonly isNew: boolean;
  }
>("attempt-ended");
/** Why an attempt was lost. */
export enum LossCause {
  /** Its worker has started again. */
  Restarted = "worker restarted",
  /** Its worker has ended, and another one has taken its address. */
  Replaced = "another worker at its address",
  LeaseExpired = "lease over",
  NotListed = "not listed",
}

/** Why nothing more is known of a task's attempt before. */
export enum UnknownAttempt {
  /** A former owner may have started one; no worker has listed it. */
  NotFound = "not found after takeover",
}

/** The attempt of a task before its next one, for the log. */
export interface PreviousAttempt {
  /** Its number; undefined if this owner doesn't know it. */
  readonly attempt: number | undefined;
  /** Why it doesn't run any more, as far as the owner knows. */
  readonly reason: LossCause | OrderOutcome | AttemptEnd | UnknownAttempt;
}

/** What the end of a worker's leases was judged by; on the worker's clock. */
export interface LeaseEvidence {
  /** Earliest time that the worker's clock can show, in milliseconds. */
  readonly workerClockMs: number;
  /** Latest end of a lease that the worker may hold, in milliseconds. */
  readonly leaseUntilMs: number;
  /** Age of the latest reading of its clock, in milliseconds. */
  readonly readingAgeMs: number;
}

/** Dispatched when an attempt is lost without a reported end. */
export const ATTEMPT_VANISHED = createCommand<
  PlacedAttempt & {
    readonly reason: LossCause;
    /** Present if it is lost because its lease is over. */
    readonly evidence?: LeaseEvidence;
  }
>("attempt-vanished");
/**
 * Dispatched when a worker is known to have crashed, before its attempts are
 * reported as lost.
 */
export const WORKER_CRASHED = createCommand<{
  readonly workerId: string;
  /** Attempts that were in their first moments when it fell silent. */
  readonly fresh: readonly AttemptName[];
}>("worker-crashed");
/** Dispatched when a worker is back as a new incarnation. */
export const WORKER_RESTARTED = createCommand<{ readonly workerId: string }>(
  "worker-restarted",
);
/**
 * Dispatched when a worker lists an attempt that this owner has not started.
 */
export const ATTEMPT_FOUND = createCommand<
  { readonly workerId: string; readonly found: RunningAttempt }
>("attempt-found");
/** Dispatched with the worker's report of a known running attempt. */
export const ATTEMPT_LISTED = createCommand<
  { readonly workerId: string; readonly listed: RunningAttempt }
>("attempt-listed");
/** Dispatched when all attempts on the worker are known. */
export const WORKER_RECONCILED = createCommand<{ readonly workerId: string }>(
  "worker-settled",
);
/** Dispatched when a listing has been handled completely. */
export const LISTING_HANDLED = createCommand<{ readonly workerId: string }>(
  "listing-handled",
);

/**
 * Time after a start in which a crash of the worker is put down to it, in
 * milliseconds.
 */
export const FIRST_MOMENTS_MS = 500;

/**
 * Returns whether the worker has not been heard from since the first moments
 * of the attempt.
 */
export function isFresh(
  { heardMs }: Pick<Session, "heardMs">,
  { startedMs }: Readonly<SessionAttempt>,
): boolean {
  return startedMs > heardMs - FIRST_MOMENTS_MS;
}

/** Returns the key of an attempt within its session. */
export function attemptKey({ task, attempt }: AttemptName): string {
  return `${task}#${attempt}`;
}

/** Notes that what can be placed on the worker may have changed. */
export function markChanged(update: Update, workerId: string): void {
  update.write(SESSIONS).changed.add(workerId);
}

/** Notes that no predecessor has left unknown attempts on the worker. */
export function endInheritance(update: Update, session: Session): void {
  session.isInherited = false;
  update.write(SESSIONS).inherited.delete(session.info.id);
}

/** Returns the session of a worker in a form that can be changed. */
export function findSession(
  update: Update,
  workerId: string,
): Session | undefined {
  return update.write(SESSIONS).byWorker.get(workerId);
}
