import {
  DONE_MARK,
  type JobProgress,
  OPEN_MARK,
  type StagedJobSpec,
  type TaskFailures,
} from "./staged_job.ts";

/**
 * Number of tasks whose progress one record holds. With checkpoints of 400 bytes
 * it stays below the usual limit of a record, 64 KiB.
 */
export const TASKS_PER_PART = 128;

/**
 * Returns the part of a job's progress that holds a task, by the task's number
 * among all tasks of all occurrences. Each part has a record of its own. As a
 * part says nothing of other tasks, parts that were written at different times
 * can be read together.
 *
 * @example
 * ```ts
 * progressPartOf(130); // 1
 * ```
 */
export function progressPartOf(taskNumber: number): number {
  return Math.floor(taskNumber / TASKS_PER_PART);
}

/** Returns the number of tasks in one occurrence of a job. */
export function tasksPerOccurrence({ stages }: StagedJobSpec): number {
  return stages.reduce((sum, { tasks }) => sum + tasks, 0);
}

/**
 * Returns the progress that several records tell together, of which the first
 * has the state. A task that one of them shows as done is done, and failures and
 * crashes only increase, so the order in which the records were written doesn't
 * matter.
 *
 * @example
 * ```ts
 * const progress = mergeProgress([first, ...laterParts]);
 * ```
 */
export function mergeProgress(
  records: readonly [Readonly<JobProgress>, ...Readonly<JobProgress>[]],
): JobProgress {
  const { offsets: _, ...first } = records[0];
  const merged: JobProgress = { ...first, marks: {}, checkpoints: {} };
  for (const record of records) {
    const { marks, offsets, checkpoints, crashes, failures, settled } = record;
    for (const [stage, text] of Object.entries(marks)) {
      const known = merged.marks[stage] ?? "";
      const padded = OPEN_MARK.repeat(offsets?.[stage] ?? 0) + text;
      merged.marks[stage] = known === "" ? padded : mergeMarks(known, padded);
    }
    Object.assign(merged.checkpoints, checkpoints);
    if (crashes !== undefined) {
      merged.crashes = mergeCounts(merged.crashes, crashes);
    }
    if (failures !== undefined) {
      merged.failures = mergeFailures(merged.failures, failures);
    }
    if (settled !== undefined) {
      merged.settled = Math.max(settled, merged.settled ?? 0);
    }
  }
  return merged;
}

function mergeCounts(
  known: Readonly<Record<string, number>> = {},
  added: Readonly<Record<string, number>>,
): Record<string, number> {
  const merged = { ...known };
  for (const [key, count] of Object.entries(added)) {
    merged[key] = Math.max(count, merged[key] ?? 0);
  }
  return merged;
}

function mergeFailures(
  known: Readonly<Record<string, TaskFailures>> = {},
  added: Readonly<Record<string, TaskFailures>>,
): Record<string, TaskFailures> {
  const merged = { ...known };
  for (const [task, failures] of Object.entries(added)) {
    if (failures.count >= (merged[task]?.count ?? 0)) {
      merged[task] = failures;
    }
  }
  return merged;
}

function mergeMarks(a: string, b: string): string {
  const [long, short] = a.length >= b.length ? [a, b] : [b, a];
  const merged = [...short].map((mark, index) => laterMark(mark, long[index]!));
  return merged.join("") + long.slice(short.length);
}

function laterMark(a: string, b: string): string {
  return a === DONE_MARK || (b !== DONE_MARK && a > b) ? a : b;
}
