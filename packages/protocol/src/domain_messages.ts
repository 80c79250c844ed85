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

/** Reports a newly accepted, durably recorded job to the domain's owner. */
export interface JobAdmitted {
  readonly kind: PeerMessageKind.JobAdmitted;
  readonly jobId: string;
  readonly record: JobRecord;
}

/** A job's progress that has been durably recorded. */
export interface DurableProgress {
  readonly jobId: string;
  readonly progress: JobProgress;
}

/** Reports ended jobs to all nodes before they read the records. */
export interface JobsProgressed {
  readonly kind: PeerMessageKind.JobsProgressed;
  readonly jobs: readonly DurableProgress[];
}

/** Requests that a peer query the external placement policy. */
export interface PermitRequest {
  readonly kind: PeerMessageKind.PermitRequest;
  readonly requestId: number;
  /** jobId.occurrence.stage */
  readonly stage: string;
  readonly workers: readonly string[];
  readonly timeoutMs: number;
}

/** The reply to {@link PermitRequest}. */
export interface PermitReply {
  readonly kind: PeerMessageKind.PermitReply;
  readonly requestId: number;
  readonly result: PermitResult;
}

/** A call to the store without the command that receives its result. */
export type StoreCall =
  | Omit<CommitRecordsEffect, "replyTo">
  | Omit<ReadSourceEffect, "replyTo">
  | Omit<FollowSourceEffect, "replyTo">;

/** Requests that a peer call the store, which the sender can't reach. */
export interface StoreRequest {
  readonly kind: PeerMessageKind.StoreRequest;
  readonly requestId: number;
  readonly call: StoreCall;
}

/** The reply to {@link StoreRequest}. */
export interface StoreReply {
  readonly kind: PeerMessageKind.StoreReply;
  readonly requestId: number;
  readonly result: RecordCommitResult | SourceResult;
}
