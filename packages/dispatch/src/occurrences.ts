import type { Update } from "@mustardweir/kernel";
import type { JobProgress } from "@mustardweir/model";
import { REPLICA, unixNow, wholeProgress } from "@mustardweir/replica";
import {
  addOccurrence,
  DISPATCH_STATE,
  dueTimeMs,
  findTask,
  isOpen,
  type JobRun,
  occurrenceCount,
  parseTaskName,
  type TaskRun,
} from "./dispatch_state.ts";
import { addWaitingJob } from "./waiting.ts";

/** Adds the occurrences of all jobs that have become due. */
export function addAllDueOccurrences(update: Update): boolean {
  let hasAdded = false;
  for (const job of update.write(DISPATCH_STATE).scheduled) {
    hasAdded = addDueOccurrences(update, job) || hasAdded;
  }
  return hasAdded;
}

/**
 * Adds the occurrences of the job that are due by the time of day. Returns
 * whether there were any.
 */
export function addDueOccurrences(update: Update, job: JobRun): boolean {
  const nowMs = unixNow(update);
  return nowMs !== undefined &&
    addOccurrences(
      update,
      job,
      (occurrence) => (dueTimeMs(job.record, occurrence) ?? Infinity) <= nowMs,
    );
}

/**
 * Adds the occurrences that a former owner has run by the records, whatever the
 * time of day: its clock may have been ahead of this node's.
 */
export function addRecordedOccurrences(update: Update, job: JobRun): void {
  const recorded = countRecorded(
    wholeProgress(update.read(REPLICA), job.jobId),
  );
  addOccurrences(update, job, (occurrence) => occurrence < recorded);
}

/**
 * Finds the task of an attempt that a worker reports. The report shows that its
 * occurrence is due, whatever the time of day of this node.
 */
export function findReportedTask(
  update: Update,
  name: string,
): TaskRun | undefined {
  const parsed = parseTaskName(name);
  const job = parsed && update.write(DISPATCH_STATE).jobs.get(parsed.jobId);
  if (job !== undefined && job.dueOccurrences <= parsed!.occurrence) {
    addOccurrences(
      update,
      job,
      (occurrence) => occurrence <= parsed!.occurrence,
    );
  }
  return findTask(update, name);
}

function addOccurrences(
  update: Update,
  job: JobRun,
  isDue: (occurrence: number) => boolean,
): boolean {
  if (job.record.spec.schedule === undefined || !isOpen(job)) {
    return false;
  }
  const isNextDue = () =>
    job.dueOccurrences < occurrenceCount(job.record) &&
    isDue(job.dueOccurrences);
  if (!isNextDue()) {
    return false;
  }
  const progress = wholeProgress(update.read(REPLICA), job.jobId);
  while (isNextDue()) {
    addOccurrence(job, progress);
    addWaitingJob(update, job);
  }
  return true;
}

/** Returns the number of occurrences up to the last one with any progress. */
function countRecorded(progress: Readonly<JobProgress> | undefined): number {
  const keys = [
    ...Object.keys(progress?.marks ?? {}),
    ...Object.keys(progress?.checkpoints ?? {}),
    ...Object.keys(progress?.crashes ?? {}),
  ];
  return keys.reduce(
    (most, key) => Math.max(most, Number.parseInt(key) + 1),
    0,
  );
}
