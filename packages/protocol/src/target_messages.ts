import type { StopMode, TaskEnd, TaskSpec, TaskUsage } from "./tasks.ts";

/** A start sent to a worker; `seq` grows with each start of a slice epoch. */
export interface TargetStart {
  readonly seq: number;
  readonly task: TaskSpec;
}

/** A task that the worker is to stop. */
export interface TargetStop {
  readonly taskId: string;
  readonly mode: StopMode;
}

/** A limit of a running task's processor time, in thousandths of a core. */
export interface TargetThrottle {
  readonly taskId: string;
  readonly cpuMillis: number;
}

/**
 * The one call that a slice owner makes to a worker: renews the lease, tells
 * what to start and stop, and asks what runs. Repeating it is harmless.
 */
export interface SyncCall {
  readonly sliceId: string;
  /** Workers refuse calls with an epoch below the highest they have seen. */
  readonly epoch: number;
  /**
   * The newest lease token that the worker gave. The lease runs from when the
   * worker made the token, so a call that was delayed can't extend it.
   */
  readonly leaseToken?: string;
  /** Starts below this sequence are settled; late copies are refused. */
  readonly floor: number;
  readonly starts: readonly TargetStart[];
  readonly stops: readonly TargetStop[];
  readonly throttles: readonly TargetThrottle[];
  /** Ended tasks that the worker may forget. */
  readonly acks: readonly string[];
  /** How long the worker may wait for news before it answers. */
  readonly waitMs: number;
}

/** A task that runs on a worker, with what it uses. */
export interface RunningTask {
  readonly task: TaskSpec;
  readonly usage: TaskUsage;
}

/** A task that ended on a worker; listed until it is acknowledged. */
export interface EndedTask {
  readonly task: TaskSpec;
  readonly end: TaskEnd;
}

/** Why a worker refused a start. */
export enum StartRefusal {
  NoCapacity = "no-capacity",
  /** The sequence is below the floor. */
  Settled = "settled",
  Stopping = "stopping",
  /** The call brought no valid lease token. */
  NoLease = "no-lease",
}

/** A start that the worker refused; the task has not run there. */
export interface RefusedStart {
  readonly taskId: string;
  readonly refusal: StartRefusal;
}

/** How a sync call ended. */
export enum SyncResultKind {
  Synced = "synced",
  /** A higher epoch has been seen. */
  Fenced = "fenced",
  /** No answer came; the call may have taken effect. */
  NoAnswer = "no-answer",
}

/** The worker took the call and tells what it runs. */
export interface Synced {
  readonly kind: SyncResultKind.Synced;
  /** Differs for each start of the worker; then it has forgotten all. */
  readonly incarnation: string;
  /** Time since its start in milliseconds; so long it has forgotten nothing. */
  readonly uptimeMs: number;
  /** Grows with each answer; lower ones are older. */
  readonly stateSeq: number;
  readonly leaseToken: string;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
  readonly refused: readonly RefusedStart[];
}

/** The worker refused the call: it has seen a higher epoch. */
export interface Fenced {
  readonly kind: SyncResultKind.Fenced;
  readonly epoch: number;
}

/** The worker did not answer in time, or not in a known form. */
export interface NoAnswer {
  readonly kind: SyncResultKind.NoAnswer;
  readonly message: string;
}

/** The result of a sync call. */
export type SyncResult = Synced | Fenced | NoAnswer;

/** A worker stops its tasks this long after the lease token was made. */
export const LEASE_MS = 8_000;

/** Path of the sync call below an instance's address. */
export const SYNC_PATH = "/v1/sync";
