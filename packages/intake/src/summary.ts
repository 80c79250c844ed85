import type { Update } from "@mustardweir/kernel";
import {
  fitsWithin,
  type JobQueue,
  NO_RESOURCES,
  type Resources,
  type StagedJobSpec,
  StagedJobState,
} from "@mustardweir/model";
import { NODE_IDENTITY, Source } from "@mustardweir/protocol";
import {
  type DomainSummary,
  hasAllRecords,
  isFollower,
  recentSummary,
  REPLICA,
  stateOf,
  storeNow,
  SUMMARY_KEY,
  SUMMARY_WANTED,
  type SummaryDraft,
} from "@mustardweir/replica";
import { isOwner, isSoleOwner, queueChange, TENURE } from "@mustardweir/tenure";
import { INTAKE } from "./intake_state.ts";

/** Interval at which the owner publishes a summary, in milliseconds. */
export const SUMMARY_INTERVAL_MS = 1_000;
/**
 * Age up to which counts of waiting jobs are used again, in milliseconds:
 * counting looks at every job.
 */
const MAX_COUNT_AGE_MS = 500;

/**
 * Age up to which a number of waiting jobs is told to callers, in milliseconds;
 * a limit of the users' interface.
 */
const MAX_TOLD_AGE_MS = 2_000;

/** Publishes what nodes without a copy of the records need, if this one owns. */
export function publishSummary(update: Update): void {
  if (!isOwner(update)) {
    return;
  }
  const draft: SummaryDraft = {
    openJobs: 0,
    waits: {},
    standbys: [],
    appointed: [],
  };
  update.dispatch(SUMMARY_WANTED, draft);
  const summary: DomainSummary = {
    ...draft,
    atMs: storeNow(update),
    nodeId: update.service(NODE_IDENTITY).nodeId,
    epoch: update.read(TENURE).epoch,
    waiting: waitingCounts(update),
    largestWorkers: Object.fromEntries(update.read(INTAKE).largestWorkers),
  };
  // A successor may have taken over from an owner that can't confirm itself.
  if (isSoleOwner(update)) {
    update.write(REPLICA).summary = summary;
  }
  queueChange(update, SUMMARY_KEY, JSON.stringify(summary));
}

/**
 * Returns the number of accepted jobs of the queue that have not begun, by this
 * node's copy of the records or by the owner's summary; undefined if both are
 * older than {@link MAX_TOLD_AGE_MS}.
 */
export function countWaiting(
  update: Update,
  { name }: JobQueue,
): number | undefined {
  const replica = update.read(REPLICA);
  const { answeredMs } = replica.sources[Source.Records];
  if (
    hasAllRecords(replica) && update.now - answeredMs <= MAX_TOLD_AGE_MS
  ) {
    return waitingCounts(update)[name] ?? 0;
  }
  const { summary } = replica;
  const isCurrent = summary !== undefined &&
    storeNow(update) - summary.atMs <= MAX_TOLD_AGE_MS;
  return isCurrent ? summary.waiting[name] ?? 0 : undefined;
}

function waitingCounts(update: Update): Readonly<Record<string, number>> {
  const intake = update.write(INTAKE);
  if (update.now - intake.countedMs < MAX_COUNT_AGE_MS) {
    return intake.waitingCounts;
  }
  const counts: Record<string, number> = {};
  for (const job of update.read(REPLICA).jobs.values()) {
    if (stateOf(job) === StagedJobState.Pending) {
      const { name } = job.record.queue;
      counts[name] = (counts[name] ?? 0) + 1;
    }
  }
  intake.waitingCounts = counts;
  intake.countedMs = update.now;
  return counts;
}

/**
 * Returns why no worker could run one of the stages; undefined if all can run.
 */
export function findInfeasibility(
  update: Update,
  queue: JobQueue,
  { stages }: StagedJobSpec,
): string | undefined {
  const largest = largestWorkerIn(update, queue.pool);
  const index = stages.findIndex(({ size, bestEffort }) =>
    largest !== undefined &&
    !fitsWithin(bestEffort ? { ...size, cpuMillis: 0 } : size, largest)
  );
  return index < 0
    ? undefined
    : `Stage ${index} asks for more than any worker has`;
}

function largestWorkerIn(update: Update, pool: string): Resources | undefined {
  return isFollower(update)
    ? recentSummary(update)?.largestWorkers[pool]
    : update.read(INTAKE).largestWorkers.get(pool);
}

/** Adds a worker to the largest capacities seen in its pool. */
export function updateLargestWorkers(update: Update, workerId: string): void {
  const worker = update.read(REPLICA).workers.get(workerId);
  if (worker === undefined) {
    return;
  }
  const { largestWorkers } = update.write(INTAKE);
  const known = largestWorkers.get(worker.pool) ?? NO_RESOURCES;
  const { capacity } = worker;
  largestWorkers.set(worker.pool, {
    cpuMillis: Math.max(known.cpuMillis, capacity.cpuMillis),
    memoryMb: Math.max(known.memoryMb, capacity.memoryMb),
    accelerators: Math.max(known.accelerators, capacity.accelerators),
    slots: Math.max(known.slots, capacity.slots),
  });
}
