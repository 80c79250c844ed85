import { createStateKey } from "@mustardweir/kernel";
import type {
  JobQueue,
  JobRecord,
  Resources,
  StagedJobState,
} from "@mustardweir/model";
import type { RecordKind } from "@mustardweir/replica";
import type { Overload } from "./admission_policy.ts";

/** Step of a call: what it waits for. */
export enum CallStep {
  /** The record of the job or of its cancellation is being written. */
  Writing = "writing",
  /** The result of a write is unknown; a read checks whether it took effect. */
  Checking = "checking",
  /**
   * A refusal is being written in place of the job's record, so that a late
   * write of the job fails.
   */
  Refusing = "refusing",
  /** A read checks whether the job exists. */
  Looking = "looking",
  /** The job exists; its progress is being read. */
  ReadingProgress = "reading-progress",
  /** The job has not ended; a read checks whether it was cancelled. */
  ReadingCancel = "reading-cancel",
  /** The owner's summary is being read again. */
  ReadingSummary = "reading-summary",
  /** The store refused the operation; it is retried after a pause. */
  Pausing = "pausing",
}

/** Operation that a call requests. */
export enum CallPurpose {
  Submit = "submit",
  Status = "status",
  Cancel = "cancel",
  /** Asks how many jobs of a queue wait. */
  Count = "count",
}

/** A call that has not been answered yet. */
export interface PendingCall {
  readonly callId: string;
  readonly purpose: CallPurpose;
  /** Empty if the call asks for no job. */
  readonly jobId: string;
  readonly queue: JobQueue;
  /** Record of the job; only with a submission. */
  readonly record: JobRecord | undefined;
  /** Part of the store in which the job's record is looked for. */
  part: string;
  /** Time at which the call was received, in milliseconds. */
  readonly receivedMs: number;
  step: CallStep;
  /**
   * Version of the stored refusal that the job's record may replace; 0 for
   * none.
   */
  recordVersion: number;
  /** Whether an earlier write may still take effect. */
  isUncertain: boolean;
  /** Why the job is being turned away; only with a submission. */
  overload: Overload | undefined;
  /** State in the job's progress record; undefined until that was read. */
  state: StagedJobState | undefined;
  /** Kind of the record that was read last; undefined before the first read. */
  lastRead: RecordKind | undefined;
  /** Number of records read so far. */
  reads: number;
  resumeMs: number;
}

/** Bounds the log lines about queries. */
export interface QueryReport {
  /** Start of the current window, in milliseconds. */
  sinceMs: number;
  /** Lines in the current window. */
  lines: number;
  /** Queries left out since the last line. */
  omitted: number;
}

/** State of the intake plug-in. */
export interface Intake {
  readonly calls: Map<string, PendingCall>;
  /** Largest capacity seen in each pool, per kind of resource. */
  readonly largestWorkers: Map<string, Resources>;
  /** Number of waiting jobs by queue, counted at `countedMs`. */
  waitingCounts: Readonly<Record<string, number>>;
  countedMs: number;
  /**
   * Time at which the planned stop was requested, in milliseconds; infinite
   * before.
   */
  stopRequestedMs: number;
  readonly report: QueryReport;
}

/** State of the intake plug-in. */
export const INTAKE = createStateKey<Intake>("intake");
