import {
  type JobProgress,
  jobProgressSchema,
  type JobRecord,
  jobRecordSchema,
  type Resources,
  StagedJobState,
} from "@mustardweir/model";
import { type RecordKey, Source } from "@mustardweir/protocol";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";

/** Part of the store with all records that the domain's owner writes. */
export const DOMAIN_PART = "domain";
/** Part of the store in which earlier versions keep the nodes' records. */
const EARLIER_NODE_PART = "nodes";
/**
 * Numbers of parts that accepted jobs and the nodes' records are spread over.
 * The store writes to a part one after the other, so that a store with calls of
 * 340 ms takes three writes a second for each.
 */
const JOB_PARTS = 64;
const NODE_PARTS = 16;
/** Number of parts over which earlier versions spread accepted jobs. */
const EARLIER_JOB_PARTS = 4;

/** The parts of each source that a node lists before it follows changes. */
export const SOURCE_PARTS: Readonly<Record<Source, readonly string[]>> = {
  [Source.Records]: [
    DOMAIN_PART,
    ...Array.from({ length: JOB_PARTS }, (_, index) => `jobs-${index}`),
  ],
  [Source.Fleet]: [
    DOMAIN_PART,
    EARLIER_NODE_PART,
    ...Array.from({ length: NODE_PARTS }, (_, index) => `nodes-${index}`),
  ],
  [Source.Operator]: [""],
  [Source.Workers]: [""],
};

/** Kinds of record; the value is the prefix of the record's key. */
export enum RecordKind {
  Tenure = "tenure",
  Progress = "progress",
  /** Progress of later tasks of a job with many tasks. */
  ProgressPart = "progress-part",
  Session = "session",
  Closed = "closed",
  Job = "job",
  Cancel = "cancel",
  Node = "node",
  Summary = "summary",
}

/** The owner of the domain. Rewritten by each commit of the owner. */
export interface TenureRecord {
  readonly nodeId: string;
  readonly incarnation: string;
  /**
   * host:port at which the owner accepts peers, empty if it accepts none; absent
   * if an earlier version wrote it.
   */
  readonly address?: string;
  readonly epoch: number;
  /**
   * Differs for each commit of an epoch, so that an earlier commit is not
   * mistaken for a later one.
   */
  readonly sequence: number;
  /**
   * Number of hand-overs in a row because the owner was slow; absent for 0.
   */
  readonly slowHandovers?: number;
  /**
   * First of the epochs in a row, up to this one, whose owners start nothing on
   * workers with a {@link ClosedRecord}; absent if an earlier version wrote it.
   */
  readonly closesSince?: number;
  /**
   * Store clock when the epoch began, in milliseconds; absent if an earlier
   * version wrote it.
   */
  readonly claimedMs?: number;
}

/** Types of the fields of a {@link TenureRecord}. */
export const TENURE_FIELDS = {
  nodeId: "string",
  incarnation: "string",
  epoch: "number",
  sequence: "number",
} as const;

/** The task ends of a worker that have been recorded so far. */
export interface SessionRecord {
  readonly address: string;
  readonly pool: string;
  readonly incarnation: number;
  /** Sequence number of the last recorded end. */
  readonly recorded: number;
  /** Whether nothing runs there and nothing starts before a newer record. */
  readonly isIdle: boolean;
  /**
   * Store clock until which the worker may hold the longest lease that it
   * grants, in milliseconds; absent if it has only been given ordinary ones.
   */
  readonly longLeaseUntilMs?: number;
}

/** Types of the fields of a {@link SessionRecord}. */
export const SESSION_FIELDS = {
  address: "string",
  pool: "string",
  incarnation: "number",
  recorded: "number",
  isIdle: "boolean",
} as const;

/**
 * Marks a worker as closed: the owner has started nothing there since before
 * this record, and removes it before it starts anything there again.
 */
export interface ClosedRecord {
  /** Epoch of the owner that wrote it. */
  readonly epoch: number;
}

/** Types of the fields of a {@link ClosedRecord}. */
export const CLOSED_FIELDS = { epoch: "number" } as const;

/** The address and the identity of a running node. */
export interface NodeRecord {
  readonly address: string;
  readonly incarnation: string;
  readonly zone: string;
  /** The node's time of day minus the store's clock, in milliseconds. */
  readonly unixOffsetMs: number;
  /**
   * What the node can carry as the owner, in processor cores; absent if it was
   * written by an earlier version.
   */
  readonly strength?: number;
  /** Smoothed delay of the node's timers in ms; absent like the strength. */
  readonly lagMs?: number;
  /** Whether the node keeps a copy of all records; absent like the strength. */
  readonly isStandby?: boolean;
  /** Store clock at the renewal, in milliseconds; absent like the strength. */
  readonly renewedMs?: number;
  /**
   * Whether the node, as the owner, starts nothing on closed workers; absent if
   * an earlier version wrote it.
   */
  readonly keepsClosed?: boolean;
  /**
   * Whether the node takes the settled occurrences of a job for done; absent if
   * an earlier version wrote it.
   */
  readonly readsSettled?: boolean;
}

/** Types of the fields of a {@link NodeRecord} that all versions write. */
export const NODE_FIELDS = {
  address: "string",
  incarnation: "string",
  zone: "string",
  unixOffsetMs: "number",
} as const;

/** A node that keeps a copy of all records, as the owner publishes it. */
export interface PublishedStandby {
  readonly nodeId: string;
  readonly address: string;
  readonly incarnation: string;
  readonly zone: string;
}

/**
 * What the domain's owner publishes for nodes that keep no copy of the records.
 */
export interface DomainSummary {
  /** Node that owns the domain. */
  readonly nodeId: string;
  readonly epoch: number;
  /** Number of jobs of each queue of which no task has started. */
  readonly waiting: Readonly<Record<string, number>>;
  /** Largest capacity in each pool, for each kind of resource. */
  readonly largestWorkers: Readonly<Record<string, Resources>>;
  /** Store clock when the figures were taken, in milliseconds. */
  readonly atMs: number;
  /** Number of jobs that have not ended. */
  readonly openJobs: number;
  /**
   * By pool and priority: how long all workers would be busy with the tasks
   * that wait, in milliseconds. Jobs past their use or rate don't count.
   */
  readonly waits: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /**
   * Live nodes with a copy of all records; absent if an earlier version wrote
   * the summary.
   */
  readonly standbys?: readonly PublishedStandby[];
  /** Nodes that are to keep a copy from now on; absent like the standbys. */
  readonly appointed?: readonly string[];
  /**
   * What the run-times plug-in publishes of each queue, unchecked; absent like
   * the standbys.
   */
  readonly runTimes?: Readonly<Record<string, unknown>>;
  /**
   * Mean run times relative to callers' estimates, by queue; 1 for queues that
   * are left out. Absent in summaries of earlier versions.
   */
  readonly runFactors?: Readonly<Record<string, number>>;
}

/**
 * Placeholder under the key of a job whose submission was refused: a late
 * write of that submission then fails its version check.
 */
export interface RefusedJob {
  readonly refused: true;
  /**
   * Store clock when it was written, in milliseconds: a try that was received
   * earlier must not replace it. 0 if an earlier version wrote it.
   */
  readonly atMs: number;
}

/**
 * Returns the part that holds a job's record and its cancellation.
 *
 * @example
 * ```ts
 * jobPart("5c0e7a21d94b36f8"); // "jobs-24"
 * ```
 */
export function jobPart(jobId: string): string {
  return `jobs-${hashOf(jobId) % JOB_PARTS}`;
}

/**
 * Returns the part in which an earlier version keeps a job; it is also one of
 * those that this version uses.
 */
export function earlierJobPart(jobId: string): string {
  return `jobs-${hashOf(jobId) % EARLIER_JOB_PARTS}`;
}

function hashOf(text: string): number {
  let hash = 0;
  for (let index = 0; index < text.length; index++) {
    hash = (Math.imul(hash, 31) + text.charCodeAt(index)) >>> 0;
  }
  return hash;
}

/**
 * Returns the key of a record.
 *
 * @example
 * ```ts
 * recordKey(RecordKind.Progress, "5c0e7a21d94b36f8");
 * // { part: "domain", key: "progress/5c0e7a21d94b36f8" }
 * ```
 */
export function recordKey(kind: RecordKind, name: string): RecordKey {
  return { part: partOf(kind, name), key: `${kind}/${name}` };
}

/**
 * Returns the key of the record that holds a part of a job's progress; the first
 * part is in the record that also holds the job's state.
 *
 * @example
 * ```ts
 * progressKey("5c0e7a21d94b36f8", 0).key; // "progress/5c0e7a21d94b36f8"
 * progressKey("5c0e7a21d94b36f8", 2).key; // "progress-part/5c0e7a21d94b36f8.2"
 * ```
 */
export function progressKey(jobId: string, part: number): RecordKey {
  return part === 0
    ? recordKey(RecordKind.Progress, jobId)
    : recordKey(RecordKind.ProgressPart, `${jobId}.${part}`);
}

/** Parses the name of the record of a later part of a job's progress. */
export function parsePartName(
  name: string,
): { readonly jobId: string; readonly part: number } {
  const dot = name.lastIndexOf(".");
  return { jobId: name.slice(0, dot), part: Number(name.slice(dot + 1)) };
}

/** Key of the record that names the owner of the domain. */
export const TENURE_KEY = recordKey(RecordKind.Tenure, "owner");

function partOf(kind: RecordKind, name: string): string {
  switch (kind) {
    case RecordKind.Job:
    case RecordKind.Cancel:
      return jobPart(name);
    case RecordKind.Node:
      return `nodes-${hashOf(name) % NODE_PARTS}`;
    default:
      return DOMAIN_PART;
  }
}

/** The kind and the name in a record's key. */
export interface ParsedKey {
  readonly kind: RecordKind;
  readonly name: string;
}

/** Key of the summary that the domain's owner publishes. */
export const SUMMARY_KEY = recordKey(RecordKind.Summary, "owner");

/**
 * Returns the source in which records with this key are listed and followed.
 *
 * @example
 * ```ts
 * sourceOfKey("node/front-1"); // Source.Fleet
 * ```
 */
export function sourceOfKey(key: string): Source {
  const kind = parseKey(key)?.kind;
  return kind === RecordKind.Node || kind === RecordKind.Summary
    ? Source.Fleet
    : Source.Records;
}

const KINDS = new Set<string>(Object.values(RecordKind));

/**
 * Parses a key; returns undefined for a key that this system doesn't write.
 *
 * @example
 * ```ts
 * parseKey("cancel/5c0e7a21d94b36f8");
 * ```
 */
export function parseKey(key: string): ParsedKey | undefined {
  const slash = key.indexOf("/");
  const kind = key.slice(0, slash);
  return KINDS.has(kind)
    ? { kind: kind as RecordKind, name: key.slice(slash + 1) }
    : undefined;
}

/** The reason why a record can't be read. */
export interface RecordError {
  readonly reason: string;
}

/** Parses the record of a job, or the placeholder of a refused submission. */
export function readJob(
  text: string,
): Result<JobRecord | RefusedJob, RecordError> {
  return readJson(text).andThen((value) => {
    if (isObject(value) && value.refused === true) {
      const atMs = typeof value.atMs === "number" ? value.atMs : 0;
      return ok({ refused: true as const, atMs });
    }
    const parsed = jobRecordSchema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(firstIssueOf(parsed.error));
  });
}

/** Parses the record of a job's progress. */
export function readProgress(text: string): Result<JobProgress, RecordError> {
  return readJson(text).andThen((value) => {
    if (isProgress(value)) {
      return ok(value);
    }
    const parsed = jobProgressSchema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(firstIssueOf(parsed.error));
  });
}

const STATES = new Set<unknown>(Object.values(StagedJobState));

/**
 * Accepts the records that the schema accepts, at less cost: a node with a copy
 * of the records reads some hundred of these a second.
 */
function isProgress(value: unknown): value is JobProgress {
  return isObject(value) && STATES.has(value.state) &&
    isTextMap(value.marks) && isTextMap(value.checkpoints) &&
    (value.offsets === undefined || isCountMap(value.offsets)) &&
    (value.crashes === undefined || isCountMap(value.crashes)) &&
    (value.failures === undefined || isFailureMap(value.failures)) &&
    (value.settled === undefined || isCount(value.settled)) &&
    (value.endedMs === undefined || typeof value.endedMs === "number");
}

function isTextMap(value: unknown): boolean {
  return isObject(value) && !Array.isArray(value) &&
    Object.values(value).every((text) => typeof text === "string");
}

function isCountMap(value: unknown): boolean {
  return isObject(value) && !Array.isArray(value) &&
    Object.values(value).every(isCount);
}

function isFailureMap(value: unknown): boolean {
  return isObject(value) && !Array.isArray(value) &&
    Object.values(value).every((failures) =>
      isObject(failures) && isCount(failures.count) &&
      Array.isArray(failures.attempts) && failures.attempts.every(isCount)
    );
}

function isCount(value: unknown): boolean {
  return typeof value === "number" && value >= 0 && value < Infinity;
}

const count = z.number().nonnegative();
const summarySchema = z.looseObject({
  nodeId: z.string(),
  epoch: z.number(),
  waiting: z.record(z.string(), count),
  largestWorkers: z.record(
    z.string(),
    z.object({
      cpuMillis: count,
      memoryMb: count,
      accelerators: count,
      slots: count,
    }),
  ),
  atMs: z.number().default(0),
  openJobs: count.default(0),
  waits: z.record(z.string(), z.record(z.string(), count)).default({}),
  standbys: z.array(
    z.object({
      nodeId: z.string(),
      address: z.string(),
      incarnation: z.string(),
      zone: z.string(),
    }),
  ).exactOptional(),
  appointed: z.array(z.string()).exactOptional(),
  // No other part of the summary may be lost for what can't be read of this one.
  runTimes: z.record(z.string(), z.unknown()).catch({}).exactOptional(),
  runFactors: z.record(z.string(), z.number().positive()).catch({})
    .exactOptional(),
});

/** Parses the summary of the domain. */
export function readSummary(text: string): Result<DomainSummary, RecordError> {
  return readJson(text).andThen((value) => {
    const parsed = summarySchema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(firstIssueOf(parsed.error));
  });
}

/**
 * Parses a flat record; fails if a field of `types` has another type or is a
 * number beyond the safe integers.
 */
export function readFields<Fields>(
  text: string,
  types: { readonly [Name in keyof Fields]: "string" | "number" | "boolean" },
): Result<Fields, RecordError> {
  return readJson(text).andThen((value) => {
    const mismatch = Object.entries(types).find(([name, type]) =>
      !isObject(value) || typeof value[name] !== type ||
      (type === "number" && !isSafe(value[name]))
    );
    return mismatch === undefined ? ok(value as Fields) : err({
      reason: `field ${mismatch[0]} is missing or has the wrong type`,
    });
  });
}

function firstIssueOf({ issues: [issue] }: z.ZodError): RecordError {
  const field = issue?.path.map(String).join(".") || "(value)";
  return { reason: `field ${field}: ${issue?.message}` };
}

function readJson(text: string): Result<unknown, RecordError> {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err({ reason: "value is not JSON" });
  }
}

function isSafe(value: unknown): boolean {
  return Math.abs(Number(value)) <= Number.MAX_SAFE_INTEGER;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null;
}
