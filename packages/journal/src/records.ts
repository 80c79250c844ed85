import type { EndReason, JobSpec, Outcome } from "@mustardweir/model";

/** Kinds of record in the journal of a home. */
export enum JournalRecordKind {
  /** A job was accepted. */
  Accepted = "accepted",
  /** A non-idempotent task is about to be started. */
  Starting = "starting",
  /** A task of a job has ended and will not run again. */
  TaskEnded = "task-ended",
  /** The caller cancelled the job. */
  Cancelled = "cancelled",
  /** The job has ended; its outcome can be reported. */
  JobEnded = "job-ended",
}

/** A job was accepted. */
export interface AcceptedRecord {
  readonly kind: JournalRecordKind.Accepted;
  readonly jobId: string;
  readonly spec: JobSpec;
  /** SHA-256 of the spec, to detect reuse of a key for another job. */
  readonly specHash: string;
}

/** A task that runs at most once is about to be started. */
export interface StartingRecord {
  readonly kind: JournalRecordKind.Starting;
  readonly jobId: string;
  readonly taskIndex: number;
}

/** A task of a job has ended. */
export interface TaskEndedRecord {
  readonly kind: JournalRecordKind.TaskEnded;
  readonly jobId: string;
  readonly taskIndex: number;
  readonly reason: EndReason;
}

/** A job was cancelled; its tasks may still be running. */
export interface CancelledRecord {
  readonly kind: JournalRecordKind.Cancelled;
  readonly jobId: string;
}

/** A job has ended. */
export interface JobEndedRecord {
  readonly kind: JournalRecordKind.JobEnded;
  readonly jobId: string;
  readonly outcome: Outcome;
  readonly reason: EndReason;
  readonly answer?: string;
}

/** A record of the journal; a row holds an array of them. */
export type JournalRecord =
  | AcceptedRecord
  | StartingRecord
  | TaskEndedRecord
  | CancelledRecord
  | JobEndedRecord;
