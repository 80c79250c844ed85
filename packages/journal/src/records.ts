import type { EndReason, JobSpec, Outcome } from "@mustardweir/model";

/** Kinds of entry in the journal of a home. */
export enum JournalRecordKind {
  /** A job was accepted. */
  Accepted = "accepted",
  /** Non-idempotent tasks may from now on be started. */
  Starting = "starting",
  /** A task of a job has ended for good. */
  TaskEnded = "task-ended",
  /** The caller cancelled the job. */
  Cancelled = "cancelled",
  /** The job has ended; its outcome can be told. */
  JobEnded = "job-ended",
}

export interface AcceptedRecord {
  readonly kind: JournalRecordKind.Accepted;
  readonly jobId: string;
  readonly spec: JobSpec;
  /** SHA-256 of the spec, to notice a key that is used again. */
  readonly specHash: string;
}

export interface StartingRecord {
  readonly kind: JournalRecordKind.Starting;
  readonly jobId: string;
  readonly taskIndex: number;
}

export interface TaskEndedRecord {
  readonly kind: JournalRecordKind.TaskEnded;
  readonly jobId: string;
  readonly taskIndex: number;
  readonly reason: EndReason;
}

export interface CancelledRecord {
  readonly kind: JournalRecordKind.Cancelled;
  readonly jobId: string;
}

export interface JobEndedRecord {
  readonly kind: JournalRecordKind.JobEnded;
  readonly jobId: string;
  readonly outcome: Outcome;
  readonly reason: EndReason;
  readonly answer?: string;
}

export type JournalRecord =
  | AcceptedRecord
  | StartingRecord
  | TaskEndedRecord
  | CancelledRecord
  | JobEndedRecord;
