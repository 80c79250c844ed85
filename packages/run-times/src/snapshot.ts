import { type BucketCount, RATIO_BUCKETS } from "./ratio_histogram.ts";
import { MAX_QUEUES, MIN_SAMPLES, type RunTimes } from "./run_times.ts";

/** Most bytes of a snapshot as JSON. */
export const MAX_SNAPSHOT_BYTES = 4_096;
/**
 * Most runs of a queue that a snapshot tells of: enough for the factors, few
 * enough for the successor's own runs to correct them soon.
 */
export const MAX_SNAPSHOT_SAMPLES = 256;

/**
 * The learned run times in the owner's summary: by queue, the buckets' indexes
 * and counts in turn.
 */
export type RunTimesSnapshot = Readonly<Record<string, readonly number[]>>;

/** The readable part of a snapshot. */
export interface DecodedSnapshot {
  readonly queues: ReadonlyMap<string, readonly BucketCount[]>;
  /** Number of entries that can't be read or are beyond the bounds. */
  readonly unreadable: number;
}

/**
 * Returns the learned run times as far as {@link MAX_SNAPSHOT_BYTES} allow, those
 * of the queues that differ most from their estimates first.
 */
export function encodeSnapshot(runTimes: Readonly<RunTimes>): RunTimesSnapshot {
  const encoder = new TextEncoder();
  const snapshot: [string, readonly number[]][] = [];
  let bytes = "{}".length;
  for (const { queue, counts } of runTimes.listLearned(MAX_SNAPSHOT_SAMPLES)) {
    const entry = [queue, counts.flat()] as [string, number[]];
    const text = JSON.stringify(entry[0]) + ":" + JSON.stringify(entry[1]) +
      ",";
    const added = encoder.encode(text).length;
    if (bytes + added <= MAX_SNAPSHOT_BYTES) {
      snapshot.push(entry);
      bytes += added;
    }
  }
  return Object.fromEntries(snapshot);
}

/**
 * Decodes a snapshot. Entries that can't be read are left out and counted.
 *
 * @example
 * ```ts
 * decodeSnapshot({ alerts: [60, 80, 62, 20] }).queues.get("alerts");
 * ```
 */
export function decodeSnapshot(
  snapshot: Readonly<Record<string, unknown>>,
): DecodedSnapshot {
  const queues = new Map<string, readonly BucketCount[]>();
  const entries = Object.entries(snapshot);
  for (const [queue, value] of entries) {
    const counts = decodeCounts(value);
    if (counts !== undefined && queues.size < MAX_QUEUES) {
      queues.set(queue, counts);
    }
  }
  return { queues, unreadable: entries.length - queues.size };
}

function decodeCounts(value: unknown): BucketCount[] | undefined {
  if (
    !Array.isArray(value) || value.length % 2 !== 0 ||
    value.length > 2 * RATIO_BUCKETS
  ) {
    return undefined;
  }
  const counts: BucketCount[] = [];
  let total = 0;
  let lastIndex = -1;
  for (let at = 0; at < value.length; at += 2) {
    const [index, count] = [value[at], value[at + 1]] as [unknown, unknown];
    if (
      !isWithin(index, lastIndex + 1, RATIO_BUCKETS - 1) ||
      !isWithin(count, 1, MAX_SNAPSHOT_SAMPLES)
    ) {
      return undefined;
    }
    counts.push([index, count]);
    lastIndex = index;
    total += count;
  }
  return total >= MIN_SAMPLES && total <= MAX_SNAPSHOT_SAMPLES
    ? counts
    : undefined;
}

function isWithin(value: unknown, min: number, max: number): value is number {
  return Number.isSafeInteger(value) && (value as number) >= min &&
    (value as number) <= max;
}
