import type {
  EndReason,
  JobKind,
  Priority,
  Resources,
} from "@mustardweir/model";

/** A task as homes, slices and workers exchange it. */
export interface TaskSpec {
  /** Unique for each attempt; a retried task has a new id. */
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  /** Epoch of the home that requested the start. */
  readonly homeEpoch: number;
  /** Sequence number of the home's ask for room for this attempt. */
  readonly askSeq: number;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly idempotent: boolean;
  readonly size: Resources;
  readonly durationMs?: number;
  readonly payload: string;
  /** Checkpoint of an earlier attempt from which to resume. */
  readonly checkpoint?: string;
}

/** How a task is to stop. */
export enum StopMode {
  Cancel = "cancel",
  /** Saves a checkpoint and releases the task's resources. */
  Preempt = "preempt",
}

/** How a task ended, with its results. */
export interface TaskEnd {
  readonly reason: EndReason;
  readonly answer?: string;
  readonly checkpoint?: string;
  /** Why the task failed, in one line meant for people. */
  readonly message?: string;
}

/** A task's resource use as measured by its worker. */
export interface TaskUsage {
  readonly cpuMillis: number;
  readonly memoryMb: number;
}
