import type { Update } from "@mustardweir/kernel";
import { type JobRecord, tasksPerOccurrence } from "@mustardweir/model";
import { unixNow } from "@mustardweir/replica";
import {
  DISPATCH_STATE,
  findTask,
  isOpen,
  type JobRun,
  openOccurrence,
  parseTaskName,
  type TaskRun,
} from "./dispatch_state.ts";
import { addWaiting } from "./waiting.ts";

/**
 * Most tasks that one event opens, so that an owner has time for its commits and
 * for other jobs in between.
 */
const MAX_TASKS_PER_EVENT = 512;
/**
 * Most tasks of a job that are open before any of their occurrences has begun,
 * and fewest such occurrences. More are opened as these begin, so that a job
 * runs on as many workers as it finds.
 */
const MAX_UNBEGUN_TASKS = 512;
const MIN_UNBEGUN_OCCURRENCES = 4;

/**
 * Opens occurrences of all scheduled jobs that are due or have recorded progress,
 * up to {@link MAX_TASKS_PER_EVENT}. Returns whether there were any.
 */
export function openDueOccurrences(update: Update): boolean {
  const { scheduled } = update.write(DISPATCH_STATE);
  if (scheduled.size === 0) {
    return false;
  }
  const nowMs = unixNow(update);
  let opened = 0;
  for (const job of [...scheduled]) {
    const tasks = openOccurrences(update, job, {
      nowMs,
      maxTasks: MAX_TASKS_PER_EVENT - opened,
    });
    opened += tasks;
    if (tasks > 0) {
      // Other jobs have their turn first the next time.
      scheduled.delete(job);
      scheduled.add(job);
    }
  }
  return opened > 0;
}

/** Opens the occurrences of a new job that are due. */
export function openFirstOccurrences(update: Update, job: JobRun): void {
  openOccurrences(update, job, {
    nowMs: unixNow(update),
    maxTasks: MAX_TASKS_PER_EVENT,
  });
}

/**
 * Finds the task of an attempt that a worker reports. The report shows that its
 * occurrence is due, whatever the time of day of this node.
 */
export function findReportedTask(
  update: Update,
  name: string,
): TaskRun | undefined {
  const { jobId, occurrence } = parseTaskName(name) ??
    { jobId: "", occurrence: 0 };
  const job = update.write(DISPATCH_STATE).jobs.get(jobId);
  if (job !== undefined && isOpen(job) && job.occurrences.canOpen(occurrence)) {
    addOpenOccurrence(update, job, occurrence);
  }
  return findTask(update, name);
}

/** Returns the number of tasks that were opened. */
function openOccurrences(
  update: Update,
  job: JobRun,
  { nowMs, maxTasks }: {
    readonly nowMs: number | undefined;
    readonly maxTasks: number;
  },
): number {
  const { occurrences, record } = job;
  if (nowMs !== undefined) {
    occurrences.raiseDue(countDue(record, nowMs));
  }
  const perOccurrence = tasksPerOccurrence(record.spec);
  const hasRoom = () =>
    occurrences.unbegun < MIN_UNBEGUN_OCCURRENCES ||
    occurrences.unbegun * perOccurrence < MAX_UNBEGUN_TASKS;
  let tasks = 0;
  while (tasks < maxTasks) {
    const recorded = occurrences.takeRecorded();
    const next = recorded ?? (hasRoom() ? occurrences.takeDue() : undefined);
    if (next === undefined) {
      break;
    }
    addOpenOccurrence(update, job, next);
    if (recorded !== undefined) {
      occurrences.begin(next);
    }
    tasks += perOccurrence;
  }
  if (!occurrences.hasRecorded) {
    job.recorded = undefined;
  }
  return tasks;
}

function addOpenOccurrence(
  update: Update,
  job: JobRun,
  occurrence: number,
): void {
  const { suspects } = update.write(DISPATCH_STATE);
  for (const stage of openOccurrence(job, occurrence)) {
    addWaiting(update, stage);
    stage.tasks.filter(({ crashes }) => crashes > 0)
      .forEach((task) => suspects.add(task));
  }
}

/** Returns how many occurrences of a scheduled job are due at a time of day. */
function countDue({ spec: { schedule } }: JobRecord, nowMs: number): number {
  if (schedule === undefined || nowMs < schedule.firstDueMs) {
    return 0;
  }
  const { firstDueMs, intervalMs, occurrences } = schedule;
  return intervalMs > 0
    ? Math.min(occurrences, Math.floor((nowMs - firstDueMs) / intervalMs) + 1)
    : occurrences;
}
