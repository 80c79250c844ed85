import type { Update } from "@mustardweir/kernel";
import { StagedJobState } from "@mustardweir/model";
import { type AttemptName, count, logChange } from "@mustardweir/protocol";
import { removeIfFinished } from "./attempts.ts";
import {
  DISPATCH_STATE,
  findTask,
  isOpen,
  markProgressed,
  taskName,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import { endJob, writeProgress } from "./progress.ts";

/**
 * Number of workers that must have crashed under a task that was the only one
 * in its first moments at the last crash, so that it is given up.
 */
const MAX_SOLE_CRASHES = 2;
/** The same, whatever else was in its first moments. */
const MAX_CRASHES = 4;

/**
 * Counts the crash of a worker against the tasks that were in their first
 * moments there, and gives up those that have crashed too many.
 */
export function handleWorkerCrashed(
  update: Update,
  { workerId, fresh }: {
    readonly workerId: string;
    readonly fresh: readonly AttemptName[];
  },
): void {
  const units = new Set<string>();
  const tasks: TaskRun[] = [];
  for (const { task: name } of fresh) {
    const task = findTask(update, name);
    units.add(task?.stage.spec.gang ? task.stage.name : name);
    if (task !== undefined && task.phase !== TaskPhase.Done) {
      tasks.push(task);
    }
  }
  for (const task of tasks) {
    task.crashes++;
    markProgressed(task);
    update.write(DISPATCH_STATE).suspects.add(task);
  }
  update.emit(count("worker-crashes"));
  for (const job of new Set(tasks.map(({ stage }) => stage.job))) {
    if (!isOpen(job)) {
      continue;
    }
    const poison = tasks.find(({ stage, crashes }) =>
      stage.job === job && (crashes >= MAX_CRASHES ||
        (crashes >= MAX_SOLE_CRASHES && units.size === 1))
    );
    if (poison === undefined) {
      writeProgress(update, job);
      continue;
    }
    update.emit(logChange("Task given up", {
      job: job.jobId,
      task: taskName(poison),
      crashes: poison.crashes,
      worker: workerId,
    }));
    endJob(update, job, StagedJobState.Failed);
    removeIfFinished(update, poison);
  }
}
