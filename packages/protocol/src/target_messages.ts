import type { StopMode, TaskEnd, TaskSpec, TaskUsage } from "./tasks.ts";

/** A start sent to a worker; `seq` increases with each start of an epoch. */
export interface TargetStart {
  readonly seq: number;
  readonly task: TaskSpec;
}

/** A task that the worker is to stop. */
export interface TargetStop {
  readonly taskId: string;
  readonly mode: StopMode;
}

/** A processor limit of a running task, in thousandths of a core. */
export interface TargetThrottle {
  readonly taskId: string;
  readonly cpuMillis: number;
}

/**
 * The only call that a slice owner makes to a worker: renews the lease, sends
 * starts and stops, and requests the state of the tasks. It is idempotent.
 */
export interface SyncCall {
  readonly sliceId: string;
  /** Workers refuse calls with an epoch below the highest received. */
  readonly epoch: number;
  /**
   * The newest lease token received from the worker. The lease runs from the
   * time the worker created the token, so a delayed call can't extend it.
   */
  readonly leaseToken?: string;
  /** Starts below this sequence number are done; late copies are refused. */
  readonly floor: number;
  readonly starts: readonly TargetStart[];
  readonly stops: readonly TargetStop[];
  readonly throttles: readonly TargetThrottle[];
  /** Ids of ended tasks that the worker may discard. */
  readonly acks: readonly string[];
  /** How long the worker may wait for a change before it replies. */
  readonly waitMs: number;
}

/** A task that runs on a worker, with its resource use. */
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
  /** The start's sequence number is below the floor. */
  Settled = "settled",
  Stopping = "stopping",
  /** The call had no valid lease token. */
  NoLease = "no-lease",
}

/** A start that the worker refused; the task did not run there. */
export interface RefusedStart {
  readonly taskId: string;
  readonly refusal: StartRefusal;
}

/** How a sync call ended. */
export enum SyncResultKind {
  Synced = "synced",
  /** The worker has received a higher epoch. */
  Fenced = "fenced",
  /** No usable reply; the call may have taken effect. */
  NoAnswer = "no-answer",
}

/** The worker accepted the call and reports its tasks. */
export interface Synced {
  readonly kind: SyncResultKind.Synced;
  /** Unique for each start of the worker; a restart loses all its state. */
  readonly incarnation: string;
  /** Time since the worker's start, in milliseconds; older state is lost. */
  readonly uptimeMs: number;
  /** Increases with each reply; a lower number is an older reply. */
  readonly stateSeq: number;
  readonly leaseToken: string;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
  readonly refused: readonly RefusedStart[];
}

/** The worker refused the call because it has received a higher epoch. */
export interface Fenced {
  readonly kind: SyncResultKind.Fenced;
  readonly epoch: number;
}

/** The worker did not reply in time, or its reply was malformed. */
export interface NoAnswer {
  readonly kind: SyncResultKind.NoAnswer;
  readonly message: string;
}

/** The result of a sync call. */
export type SyncResult = Synced | Fenced | NoAnswer;

/** Workers stop their tasks this long after creating the lease token, in ms. */
export const LEASE_MS = 8_000;

/** Path of the sync call, relative to an instance's address. */
export const SYNC_PATH = "/v1/sync";
