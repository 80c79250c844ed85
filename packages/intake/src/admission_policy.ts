import type { JobQueue, StagedJobSpec } from "@mustardweir/model";
import type { DomainSummary } from "@mustardweir/replica";

/** Multiple of its objective after which a job is of no use any more. */
const EXPIRY_FACTOR = 3;
/**
 * Age above which the owner's figures decide nothing, in milliseconds: the
 * backlog of that time may be gone.
 */
const MAX_FIGURES_AGE_MS = 4_000;
/**
 * Most jobs that may be open in the domain: their state has to fit into the
 * memory of the smallest owner.
 */
const MAX_OPEN_JOBS = 20_000;
/** Bounds of the time after which a refused caller may retry, in ms. */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 10_000;
/** Spread of that time, so that callers don't return together. */
const RETRY_SPREAD = 0.5;

/** A job to be admitted and what is known when it arrives. */
export interface AdmissionContext {
  readonly queue: JobQueue;
  readonly spec: StagedJobSpec;
  /** What the owner published last; undefined if nothing. */
  readonly summary: DomainSummary | undefined;
  /** Current time of the store's clock, in milliseconds. */
  readonly storeMs: number;
  /** Random number from 0 to 1. */
  readonly fraction: number;
}

/** Why a job is turned away. */
export interface Overload {
  readonly reason: string;
  readonly waitMs: number;
  readonly ageMs: number;
  readonly retryAfterMs: number;
}

/** Decides whether a job is accepted while more work waits than can be done. */
export abstract class AdmissionPolicy {
  /** Returns why the job is turned away; undefined if it is accepted. */
  abstract findOverload(context: AdmissionContext): Overload | undefined;
}

/** Accepts every job, however much waits. */
export class AcceptAll extends AdmissionPolicy {
  override findOverload(): undefined {
    return undefined;
  }
}

/**
 * Turns away jobs that would be of no use when their turn comes, by the work
 * that waits with the same or a higher priority, and all jobs while the domain
 * has as many as it can hold.
 *
 * @example
 * ```ts
 * const overload = new WaitBound().findOverload(context);
 * ```
 */
export class WaitBound extends AdmissionPolicy {
  override findOverload(context: AdmissionContext): Overload | undefined {
    const { queue, spec, summary, storeMs } = context;
    const ageMs = storeMs - (summary?.atMs ?? -Infinity);
    if (summary === undefined || ageMs > MAX_FIGURES_AGE_MS) {
      return undefined;
    }
    const waitMs = expectedWaitMs(summary, queue);
    if (summary.openJobs >= MAX_OPEN_JOBS) {
      return overload(context, {
        reason: "As many jobs are open as can be kept",
        waitMs,
        ageMs,
        excessMs: waitMs,
      });
    }
    const factor = summary.runFactors?.[queue.name] ?? 1;
    const excessMs = waitMs - usefulWaitMs(queue, spec, factor);
    return excessMs <= 0 ? undefined : overload(context, {
      reason: "The job would wait until it is of no use",
      waitMs,
      ageMs,
      excessMs,
    });
  }
}

function overload(
  { fraction }: AdmissionContext,
  { excessMs, ...found }: Omit<Overload, "retryAfterMs"> & {
    readonly excessMs: number;
  },
): Overload {
  const retryMs = Math.min(Math.max(excessMs, MIN_RETRY_MS), MAX_RETRY_MS);
  return {
    ...found,
    retryAfterMs: Math.round(retryMs * (1 + RETRY_SPREAD * fraction)),
  };
}

/** Returns the time until all work that goes first can have been started. */
function expectedWaitMs(
  { waits }: DomainSummary,
  { pool, priority }: JobQueue,
): number {
  return Object.entries(waits[pool] ?? {})
    .filter(([other]) => Number(other) <= priority)
    .reduce((sum, [, waitMs]) => sum + waitMs, 0);
}

/**
 * Returns how long the job may wait and still be of use, if its tasks run
 * `runFactor` times as long as estimated; a lasting or scheduled job may always
 * wait.
 */
function usefulWaitMs(
  { stretch, latencyObjectiveMs }: JobQueue,
  { stages, schedule }: StagedJobSpec,
  runFactor: number,
): number {
  if (schedule !== undefined || stages.some(({ lasting }) => lasting)) {
    return Infinity;
  }
  const endsMs: number[] = [];
  for (const { dependsOn, estimateMs } of stages) {
    const startMs = Math.max(0, ...dependsOn.map((at) => endsMs[at] ?? 0));
    endsMs.push(startMs + estimateMs);
  }
  const totalMs = runFactor * Math.max(0, ...endsMs);
  const objectiveMs = stretch * totalMs + latencyObjectiveMs;
  return EXPIRY_FACTOR * objectiveMs - totalMs;
}
