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
import { mergeProgress, StagedJobState } from "@mustardweir/model";
import { Source } from "@mustardweir/protocol";
import type {
  ClosedRecord,
  DomainSummary,
  NodeRecord,
  PublishedStandby,
  SessionRecord,
  TenureRecord,
} from "./record_keys.ts";
import type { UnreadableLog } from "./unreadable_log.ts";

const NO_PROGRESS: JobProgress = {
  state: StagedJobState.Running,
  marks: {},
  checkpoints: {},
};

/** A job in this node's copy of the records. */
export interface KnownJob {
  readonly jobId: string;
  readonly record: JobRecord;
  /**
   * Parts of the store that hold the record: two if versions of this system
   * that use different parts have both accepted the job.
   */
  readonly parts: Set<string>;
  /**
   * Lowest store version of the records; undefined until one was read itself.
   */
  version: number | undefined;
  /** Undefined until any part of the job has run. */
  progress: JobProgress | undefined;
  isCancelled: boolean;
}

/** The latest tenure record that this node has read. */
export interface KnownTenure {
  readonly record: TenureRecord;
  readonly version: number;
  /** When this node read the last change, by its own clock, in ms. */
  readonly seenMs: number;
}

/** The record of a node, which may be this one. */
export interface KnownNode extends Omit<NodeRecord, "unixOffsetMs"> {
  readonly nodeId: string;
  /** As in the record; undefined if the node didn't know it yet. */
  readonly unixOffsetMs: number | undefined;
  /** Time of the last renewal on this node's clock, in milliseconds. */
  readonly seenMs: number;
  /** Store version of the record; absent if it was not read itself. */
  readonly version?: number;
}

/** A worker on which owners start nothing. */
export interface ClosedWorker extends ClosedRecord {
  /** Store version of the record. */
  readonly version: number;
}

/** A worker whose registration was removed; it may still run tasks. */
export interface DepartedWorker {
  readonly info: WorkerInfo;
  readonly departedMs: number;
}

/** How current this node's copy of a source is. */
export interface SourceView {
  /** False until the first listing is complete. */
  isListed: boolean;
  /** Store version up to which changes have been applied. */
  version: number;
  /** When the store last replied about it, by this node's clock, in ms. */
  answeredMs: number;
}

/** A node's copy of the data in the store. */
export interface Replica {
  readonly sources: Record<Source, SourceView>;
  desired: DesiredState | undefined;
  /** Zones that operators drain, with the time at which the drain was read. */
  readonly drainedZones: Map<string, number>;
  readonly workers: Map<string, WorkerInfo>;
  readonly departed: Map<string, DepartedWorker>;
  readonly jobs: Map<string, KnownJob>;
  /** Progress of jobs whose own record hasn't been read yet. */
  readonly orphans: Map<string, JobProgress>;
  /** Later parts of the progress of jobs with many tasks, by job and part. */
  readonly progressParts: Map<string, Map<number, JobProgress>>;
  readonly cancels: Set<string>;
  readonly sessions: Map<string, SessionRecord>;
  /** Workers whose latest session record can't be read. */
  readonly unreadableSessions: Set<string>;
  readonly unreadable: UnreadableLog;
  readonly closed: Map<string, ClosedWorker>;
  readonly nodes: Map<string, KnownNode>;
  tenure: KnownTenure | undefined;
  /** The last record of the epoch before; undefined unless this node read it. */
  formerTenure: KnownTenure | undefined;
  /** What the owner last published; undefined before the first owner. */
  summary: DomainSummary | undefined;
  /**
   * Whether this node keeps a copy of all records, so that it may own the
   * domain. Other nodes read a record when a caller asks for it.
   */
  isStandby: boolean;
  /** Store clock minus this node's clock, in milliseconds. */
  storeClockOffsetMs: number | undefined;
  /**
   * This node's time of day minus the store's clock, in milliseconds; undefined
   * before the first reply of the store.
   */
  unixOffsetMs: number | undefined;
  /**
   * Median of the offsets that the nodes tell; undefined while it has to be
   * computed anew.
   */
  medianOffset: { readonly offsetMs: number | undefined } | undefined;
}

/** State of the replica plug-in. */
export const REPLICA = createStateKey<Replica>("replica");

/** Dispatched when the desired state or the drain of a zone has changed. */
export const DESIRED_CHANGED = createCommand<Record<string, never>>(
  "desired-changed",
);
/** Dispatched when a job's record, progress or cancellation has changed. */
export const JOB_CHANGED = createCommand<{ readonly jobId: string }>(
  "job-changed",
);
/** Dispatched when a worker's registration has changed. */
export const WORKER_CHANGED = createCommand<{ readonly workerId: string }>(
  "worker-changed",
);
/** Dispatched when the tenure record, which names the owner, has changed. */
export const TENURE_SEEN = createCommand<KnownTenure>("tenure-seen");
/** Requests the newest records at once, without the usual pause. */
export const RECORDS_WANTED = createCommand<Record<string, never>>(
  "records-wanted",
);
/** The part of the summary that other plug-ins fill in. */
export interface SummaryDraft {
  openJobs: number;
  waits: Record<string, Record<string, number>>;
  standbys: readonly PublishedStandby[];
  appointed: readonly string[];
  /** By queue; absent without the run-times plug-in. */
  runTimes?: Readonly<Record<string, unknown>>;
  /** Mean run times relative to estimates, by queue; 1 for other queues. */
  runFactors?: Readonly<Record<string, number>>;
}

/** Requests the figures of the domain for the owner's next summary. */
export const SUMMARY_WANTED = createCommand<SummaryDraft>("summary-wanted");

/**
 * Interval at which a node without a copy of the records runs the periodic work
 * of those that have one, in milliseconds: it has nothing to decide, and each
 * wake-up costs processor time.
 */
export const FOLLOWER_INTERVAL_MS = 100;

/** Returns whether this node keeps no copy of the records. */
export function isFollower(update: Update): boolean {
  return !update.read(REPLICA).isStandby;
}

/**
 * Age up to which the owner's summary stands for the records of all nodes, in
 * milliseconds: the time between two summaries, the time until one is read, and
 * that of a takeover.
 */
const MAX_SUMMARY_AGE_MS = 4_000;

/**
 * Returns the owner's summary if it names the nodes with a copy of the records
 * and is recent. A node without a copy then needs no records of other nodes.
 */
export function recentSummary(update: Update): DomainSummary | undefined {
  const { summary, storeClockOffsetMs } = update.read(REPLICA);
  const isRecent = summary?.standbys !== undefined &&
    storeClockOffsetMs !== undefined &&
    storeNow(update) - summary.atMs <= MAX_SUMMARY_AGE_MS;
  return isRecent ? summary : undefined;
}

/** Dispatched at the first reply of the store, which tells its clock. */
export const STORE_CLOCK_READ = createCommand<Record<string, never>>(
  "store-clock-read",
);

/** Dispatched when a node was added, removed or has restarted. */
export const NODES_CHANGED = createCommand<Record<string, never>>(
  "nodes-changed",
);

/** Dispatched when this node begins to keep a copy of all records. */
export const STANDBY_STARTED = createCommand<Record<string, never>>(
  "standby-started",
);

/** Returns whether this node's copy of all records is complete. */
export function hasAllRecords({ isStandby, sources }: Readonly<Replica>) {
  return isStandby && sources[Source.Records].isListed;
}

/**
 * Returns whether the process that a tenure record names has ended, given another
 * process of its node that listens: a process listens before it acts and until
 * it has stopped, and an address has one listener at a time. Records of earlier
 * versions tell no address; their process counts as ended.
 *
 * @example
 * ```ts
 * hasOwnerEnded(record, { incarnation: "b", address: "10.0.0.1:7180" });
 * ```
 */
export function hasOwnerEnded(
  record: Pick<TenureRecord, "incarnation" | "address">,
  later: Pick<NodeRecord, "incarnation" | "address">,
): boolean {
  const { incarnation, address = later.address } = record;
  return incarnation !== later.incarnation && address !== "" &&
    address === later.address;
}

/** A write takes effect within this time of being sent, or never, in ms. */
const MAX_WRITE_DELAY_MS = 12_000;

/**
 * Returns a time by which the process of the former owner had ended, by this
 * node's clock in milliseconds, because a later process of its node has written a
 * record since; undefined if none is known to have.
 */
export function formerOwnerEndMs(
  { formerTenure, nodes, storeClockOffsetMs }: Readonly<Replica>,
): number | undefined {
  if (formerTenure === undefined || storeClockOffsetMs === undefined) {
    return undefined;
  }
  const { record, version } = formerTenure;
  const { claimedMs } = record;
  const node = nodes.get(record.nodeId);
  if (
    node?.renewedMs === undefined || claimedMs === undefined ||
    !hasOwnerEnded(record, node) || (node.version ?? 0) <= version
  ) {
    return undefined;
  }
  // A process before the owner's may have left a write that was done late.
  return node.renewedMs - claimedMs >= MAX_WRITE_DELAY_MS
    ? node.renewedMs - storeClockOffsetMs
    : undefined;
}

/** Returns the id of the node that owns the domain, as far as it is known. */
export function ownerOf(
  { tenure, summary }: Readonly<Replica>,
): string | undefined {
  return tenure?.record.nodeId ?? summary?.nodeId;
}

/**
 * Returns the current time of the store's steady clock, in milliseconds; 0
 * before the first reply of the store.
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
 * Returns the time of day in Unix milliseconds, from the median of the nodes'
 * clocks, so that a clock jump on a minority of nodes has no effect; undefined
 * while no node is known to have read the store's clock.
 *
 * @example
 * ```ts
 * const isDue = (unixNow(update) ?? -Infinity) >= schedule.firstDueMs;
 * ```
 */
export function unixNow(update: Update): number | undefined {
  const replica = update.write(REPLICA);
  const { offsetMs = replica.unixOffsetMs } = replica.medianOffset ??= {
    offsetMs: medianOffsetMs(replica),
  };
  return offsetMs === undefined ? undefined : storeNow(update) + offsetMs;
}

function medianOffsetMs({ nodes }: Readonly<Replica>): number | undefined {
  const known = [...nodes.values()].map((node) => node.unixOffsetMs)
    .filter((offset) => offset !== undefined)
    .sort((a, b) => a - b);
  // Of an even number the lower one: a late start harms less than an early one.
  return known[Math.floor((known.length - 1) / 2)];
}

/** Returns all recorded progress of a job; undefined if there is none. */
export function wholeProgress(
  { jobs, progressParts }: Readonly<Replica>,
  jobId: string,
): JobProgress | undefined {
  const parts = [...progressParts.get(jobId)?.values() ?? []];
  const first = jobs.get(jobId)?.progress;
  return first === undefined && parts.length === 0
    ? undefined
    : mergeProgress([first ?? NO_PROGRESS, ...parts]);
}

/** Returns the state of a job that is reported to callers. */
export function stateOf(job: Readonly<KnownJob>): StagedJobState {
  const state = job.progress?.state ?? StagedJobState.Pending;
  const isOpen = state === StagedJobState.Pending ||
    state === StagedJobState.Running;
  return isOpen && job.isCancelled ? StagedJobState.Cancelled : state;
}
