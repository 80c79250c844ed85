import type {
  EndReason,
  JobKind,
  Priority,
  Resources,
} from "@mustardweir/model";

/** One task as homes, slices and workers pass it on. */
export interface TaskSpec {
  /** Unique for each attempt: a task that is started again has a new id. */
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  /** Epoch of the home that asked for the start. */
  readonly homeEpoch: number;
  /** The home's ask that led to the start. */
  readonly askSeq: number;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly idempotent: boolean;
  readonly size: Resources;
  readonly durationMs?: number;
  readonly payload: string;
  /** Where an earlier attempt of the task stopped. */
  readonly checkpoint?: string;
}

/** How a task is told to stop. */
export enum StopMode {
  Cancel = "cancel",
  /** Saves a checkpoint and gives its place away. */
  Preempt = "preempt",
}

/** What a task that ended left behind. */
export interface TaskEnd {
  readonly reason: EndReason;
  readonly answer?: string;
  readonly checkpoint?: string;
  /** One line for people when the task failed. */
  readonly message?: string;
}

/** A task's resources as its worker measured them. */
export interface TaskUsage {
  readonly cpuMillis: number;
  readonly memoryMb: number;
}
