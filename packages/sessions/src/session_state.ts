import {
  createCommand,
  createStateKey,
  type Update,
} from "@mustardweir/kernel";
import type { Resources, WorkerInfo } from "@mustardweir/model";
import type {
  AttemptEnd,
  AttemptName,
  OrderOutcome,
  RunningAttempt,
} from "@mustardweir/protocol";

/** Where an attempt stands on its worker, as far as the owner knows. */
export enum AttemptPhase {
  /** The order is on its way. */
  Starting = "starting",
  /** The order had no answer; it may be carried out later. */
  Unknown = "unknown",
  Running = "running",
  Stopping = "stopping",
}

/** An attempt that takes room on a worker. */
export interface SessionAttempt extends AttemptName {
  phase: AttemptPhase;
  readonly size: Resources;
  /** Token of the order that started it. */
  token: number;
  /** When its start or stop was last confirmed or sent, in milliseconds. */
  sinceMs: number;
  /** Found on the worker, and of no task that the owner knows. */
  readonly isForeign: boolean;
}

/** An end that was handled and is being recorded. */
interface PendingRecord {
  readonly number: number;
  readonly ticket: number;
}

/** What the owner of the domain knows of a worker. */
export interface Session {
  info: WorkerInfo;
  /** A predecessor may have left something there that isn't known yet. */
  isInherited: boolean;
  /** False once the worker is no longer registered. */
  isRegistered: boolean;
  /** 0 until the worker has told it. */
  incarnation: number;
  /** Low part of the token; grows to void orders that had no answer. */
  round: number;
  /** What runs there is known: it has answered, or its lease was over. */
  isSettled: boolean;
  /** The worker's clock at one moment of this node's clock. */
  clock: { readonly workerMs: number; readonly atMs: number } | undefined;
  /** Latest end of a lease that was sent, on the worker's clock. */
  leaseUntilMs: number;
  /** Without an answer the predecessor's lease is over then. */
  readonly inheritedLapseMs: number;
  /** Number of the last end handled. */
  handled: number;
  /** Number of the last end recorded. */
  recorded: number;
  readonly pendingRecords: PendingRecord[];
  /** Ticket of the record of this session; 0 before it is queued. */
  ticket: number;
  /** The record says that tasks may run there, so that they may be started. */
  isRecorded: boolean;
  /** Identifies the renewal on its way; 0 for none. */
  renewal: number;
  renewalToken: number;
  nextRenewalMs: number;
  /** Renewals without an answer since the last one with. */
  missed: number;
  answeredMs: number;
  /** Where the worker has answered in this life; empty for nowhere. */
  answeredAddress: string;
  readonly attempts: Map<string, SessionAttempt>;
}

/** All sessions of the owner; empty on other nodes. */
export interface Sessions {
  epoch: number;
  isOpen: boolean;
  /** Names renewals apart. */
  lastRenewal: number;
  readonly byWorker: Map<string, Session>;
}

/** State of the sessions plug-in. */
export const SESSIONS = createStateKey<Sessions>("sessions");

/** Names an attempt on a worker. */
export interface PlacedAttempt extends AttemptName {
  readonly workerId: string;
}

/** The worker has taken the start, or lists the attempt. */
export const ATTEMPT_RUNNING = createCommand<PlacedAttempt>("attempt-running");
/** The attempt didn't start and never will. */
export const ATTEMPT_REFUSED = createCommand<
  PlacedAttempt & { readonly outcome: OrderOutcome }
>("attempt-refused");
/** The worker listed an end. */
export const ATTEMPT_ENDED = createCommand<
  PlacedAttempt & {
    readonly end: AttemptEnd;
    readonly checkpoint: string;
    /** False for an end that a predecessor recorded. */
    readonly isNew: boolean;
  }
>("attempt-ended");
/** The attempt is gone without an end: worker restarted, or lease over. */
export const ATTEMPT_VANISHED = createCommand<
  PlacedAttempt & { readonly reason: string }
>("attempt-vanished");
/** The worker lists an attempt that this owner hasn't started. */
export const ATTEMPT_FOUND = createCommand<
  { readonly workerId: string; readonly found: RunningAttempt }
>("attempt-found");
/** What the worker lists of an attempt that is known. */
export const ATTEMPT_LISTED = createCommand<
  { readonly workerId: string; readonly listed: RunningAttempt }
>("attempt-listed");
/** What runs on the worker is known now. */
export const WORKER_SETTLED = createCommand<{ readonly workerId: string }>(
  "worker-settled",
);
/** A listing of the worker has been handled whole. */
export const LISTING_HANDLED = createCommand<{ readonly workerId: string }>(
  "listing-handled",
);

/** Names an attempt within its session. */
export function attemptKey({ task, attempt }: AttemptName): string {
  return `${task}#${attempt}`;
}

/** The session of a worker, for changing it. */
export function findSession(
  update: Update,
  workerId: string,
): Session | undefined {
  return update.write(SESSIONS).byWorker.get(workerId);
}
