import {
  createCommand,
  createStateKey,
  type Update,
} from "@mustardweir/kernel";
import type {
  DesiredState,
  JobProgress,
  JobRecord,
  WorkerInfo,
} from "@mustardweir/model";
import { StagedJobState } from "@mustardweir/model";
import type { Source } from "@mustardweir/protocol";
import type { NodeRecord, SessionRecord, TenureRecord } from "./record_keys.ts";

/** A job as far as this node knows. */
export interface KnownJob {
  readonly jobId: string;
  readonly record: JobRecord;
  /** Absent until anything of it has run. */
  progress: JobProgress | undefined;
  isCancelled: boolean;
}

/** The owner of the domain as this node last saw it. */
export interface KnownTenure {
  readonly record: TenureRecord;
  readonly version: number;
  /** When this node saw the last change, in its own clock. */
  readonly seenMs: number;
}

/** Another node, or this one. */
export interface KnownNode extends NodeRecord {
  readonly nodeId: string;
  readonly seenMs: number;
}

/** A worker whose registration is gone; it may still run tasks. */
export interface DepartedWorker {
  readonly info: WorkerInfo;
  readonly departedMs: number;
}

/** How far a source is known. */
export interface SourceView {
  /** False until the first listing is complete. */
  isListed: boolean;
  /** Version up to which changes are known. */
  version: number;
  /** When the store last answered about it, in this node's clock. */
  answeredMs: number;
}

/** A node's copy of what lies in the store. */
export interface Replica {
  readonly sources: Record<Source, SourceView>;
  desired: DesiredState | undefined;
  /** Zones that operators want empty, with the time they were seen. */
  readonly drainedZones: Map<string, number>;
  readonly workers: Map<string, WorkerInfo>;
  readonly departed: Map<string, DepartedWorker>;
  readonly jobs: Map<string, KnownJob>;
  /** Progress of jobs whose own record isn't known yet. */
  readonly orphans: Map<string, JobProgress>;
  readonly cancels: Set<string>;
  readonly sessions: Map<string, SessionRecord>;
  readonly nodes: Map<string, KnownNode>;
  tenure: KnownTenure | undefined;
  /** Store clock less this node's clock, in milliseconds. */
  storeClockOffsetMs: number | undefined;
  /** This node's time of day less the store's clock, in milliseconds. */
  unixOffsetMs: number;
}

/** State of the replica plug-in. */
export const REPLICA = createStateKey<Replica>("replica");

/** The desired state or a drain changed. */
export const DESIRED_CHANGED = createCommand<Record<string, never>>(
  "desired-changed",
);
/** A job, its progress or its cancellation became known. */
export const JOB_CHANGED = createCommand<{ readonly jobId: string }>(
  "job-changed",
);
/** A worker's registration changed. */
export const WORKER_CHANGED = createCommand<{ readonly workerId: string }>(
  "worker-changed",
);
/** The record of the domain's owner changed. */
export const TENURE_SEEN = createCommand<KnownTenure>("tenure-seen");
/** The newest records are wanted at once, without the usual pause. */
export const RECORDS_WANTED = createCommand<Record<string, never>>(
  "records-wanted",
);
/** A node came or went. */
export const NODES_CHANGED = createCommand<Record<string, never>>(
  "nodes-changed",
);

/**
 * The store's steady clock now; 0 before the store has answered.
 *
 * @example
 * ```ts
 * const acceptedMs = storeNow(update);
 * ```
 */
export function storeNow(update: Update): number {
  const offset = update.read(REPLICA).storeClockOffsetMs;
  return offset === undefined ? 0 : Math.round(update.now + offset);
}

/**
 * The time of day, Unix milliseconds, by the median of the nodes' clocks; a
 * clock that jumps on some of them doesn't show.
 */
export function unixNow(update: Update): number {
  const { nodes, unixOffsetMs } = update.read(REPLICA);
  const offsets = [...nodes.values()].map((node) => node.unixOffsetMs);
  const sorted = (offsets.length > 0 ? offsets : [unixOffsetMs])
    .sort((a, b) => a - b);
  return storeNow(update) + sorted[Math.floor((sorted.length - 1) / 2)]!;
}

/** A job's state as callers are told. */
export function stateOf(job: Readonly<KnownJob>): StagedJobState {
  const state = job.progress?.state ?? StagedJobState.Pending;
  const isOpen = state === StagedJobState.Pending ||
    state === StagedJobState.Running;
  return isOpen && job.isCancelled ? StagedJobState.Cancelled : state;
}
