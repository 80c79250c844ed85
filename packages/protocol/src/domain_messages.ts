import type { JobProgress, JobRecord } from "@mustardweir/model";
import type { PeerMessageKind } from "./peer_messages.ts";
import type {
  CommitRecordsEffect,
  FollowSourceEffect,
  ReadSourceEffect,
  RecordCommitResult,
  SourceResult,
} from "./record_store.ts";
import type { PermitResult } from "./worker_orders.ts";

/** Tells the owner of the domain of a job that is durable. */
export interface JobAdmitted {
  readonly kind: PeerMessageKind.JobAdmitted;
  readonly jobId: string;
  readonly record: JobRecord;
}

/** What has become durable of the run of a job. */
export interface DurableProgress {
  readonly jobId: string;
  readonly progress: JobProgress;
}

/** Tells all nodes of jobs that have ended, ahead of the records. */
export interface JobsProgressed {
  readonly kind: PeerMessageKind.JobsProgressed;
  readonly jobs: readonly DurableProgress[];
}

/** Has a peer ask the external placement policy. */
export interface PermitRequest {
  readonly kind: PeerMessageKind.PermitRequest;
  readonly requestId: number;
  /** jobId.occurrence.stage */
  readonly stage: string;
  readonly workers: readonly string[];
  readonly timeoutMs: number;
}

/** The answer to {@link PermitRequest}. */
export interface PermitReply {
  readonly kind: PeerMessageKind.PermitReply;
  readonly requestId: number;
  readonly result: PermitResult;
}

/** A call to the store without the place that its answer goes to. */
export type StoreCall =
  | Omit<CommitRecordsEffect, "replyTo">
  | Omit<ReadSourceEffect, "replyTo">
  | Omit<FollowSourceEffect, "replyTo">;

/** Has a peer call the store, which turns the sender away. */
export interface StoreRequest {
  readonly kind: PeerMessageKind.StoreRequest;
  readonly requestId: number;
  readonly call: StoreCall;
}

/** The answer to {@link StoreRequest}. */
export interface StoreReply {
  readonly kind: PeerMessageKind.StoreReply;
  readonly requestId: number;
  readonly result: RecordCommitResult | SourceResult;
}
