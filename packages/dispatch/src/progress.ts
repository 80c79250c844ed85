import type { Update } from "@mustardweir/kernel";
import { isFinal, StagedJobState } from "@mustardweir/model";
import { logChange } from "@mustardweir/protocol";
import { dropPermits } from "@mustardweir/permits";
import { recordKey, RecordKind, storeNow } from "@mustardweir/replica";
import { stopAttempt } from "@mustardweir/sessions";
import { queueChange } from "@mustardweir/tenure";
import {
  BOOK,
  type JobRun,
  progressOf,
  taskName,
  TaskPhase,
  type TaskRun,
} from "./book.ts";

/** Has the job's progress recorded as it is now. */
export function writeProgress(update: Update, job: JobRun): void {
  const progress = progressOf(job);
  if (isFinal(job.state)) {
    progress.endedMs = storeNow(update);
  }
  queueChange(
    update,
    recordKey(RecordKind.Progress, job.jobId),
    JSON.stringify(progress),
  );
}

/** Ends the job and stops what still runs of it. */
export function endJob(
  update: Update,
  job: JobRun,
  state: StagedJobState,
): void {
  if (isFinal(job.state)) {
    return;
  }
  job.state = state;
  update.write(BOOK).ended.add(job.jobId);
  writeProgress(update, job);
  for (const stage of job.stages.values()) {
    dropPermits(update, stage.name);
    stage.tasks.forEach((task) => stopTask(update, task));
  }
  update.emit(logChange("Job ended", {
    job: job.jobId,
    queue: job.record.queue.name,
    team: job.record.team,
    state,
    ageMs: storeNow(update) - job.record.acceptedMs,
  }));
}

/** Orders a placed task to stop; it waits again once it has ended. */
export function stopTask(update: Update, task: TaskRun): void {
  if (task.phase === TaskPhase.Placed && !task.isStopping) {
    task.isStopping = true;
    stopAttempt(update, {
      workerId: task.workerId,
      task: taskName(task),
      attempt: task.attempt,
    });
  }
}
