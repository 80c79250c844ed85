import type { Update } from "@mustardweir/kernel";
import { StagedJobState } from "@mustardweir/model";
import { findValidPermit } from "@mustardweir/permits";
import { logChange } from "@mustardweir/protocol";
import { startAttempt } from "@mustardweir/sessions";
import {
  BOOK,
  bookedSize,
  firstAttempt,
  type JobRun,
  type StageRun,
  takeRoom,
  taskName,
  TaskPhase,
} from "./book.ts";
import type { Choice } from "./choice.ts";
import { WORKER_HEALTH } from "./health.ts";
import { writeProgress } from "./progress.ts";

/** Orders the chosen workers to start the tasks. */
export function start(
  update: Update,
  stage: StageRun,
  choices: readonly Choice[],
): void {
  const book = update.write(BOOK);
  const gang = stage.spec.gang ? gangStart(stage, book.epoch) : undefined;
  for (const { task, candidate } of choices) {
    const workerId = candidate.session.info.id;
    task.attempt = gang?.attempt ??
      Math.max(task.attempt + 1, firstAttempt(book.epoch));
    task.phase = TaskPhase.Placed;
    task.workerId = workerId;
    task.placedMs = update.now;
    task.isStopping = false;
    task.isRunning = false;
    task.percent = 0;
    takeRoom(book, task);
    update.write(WORKER_HEALTH).started(workerId, update.now);
    const permit = findValidPermit(update, stage.name, workerId);
    startAttempt(update, {
      workerId,
      task: taskName(task),
      attempt: task.attempt,
      size: bookedSize(stage),
      payload: stage.job.record.spec.payload,
      checkpoint: gang?.checkpoint ?? task.checkpoint,
      ...(permit === undefined ? {} : { permit }),
    });
  }
  markRunning(update, stage.job);
}

/** All members start under one number, from one checkpoint. */
function gangStart(stage: StageRun, epoch: number) {
  const placed = stage.tasks.find((task) => task.phase === TaskPhase.Placed);
  const highest = Math.max(...stage.tasks.map((task) => task.attempt));
  const checkpoint = stage.tasks
    .map((task) => task.checkpoint)
    .reduce((a, b) => b > a ? b : a, "");
  for (const task of stage.tasks) {
    task.checkpoint = checkpoint;
  }
  return {
    attempt: placed?.attempt ?? Math.max(highest + 1, firstAttempt(epoch)),
    checkpoint,
  };
}

function markRunning(update: Update, job: JobRun): void {
  if (job.state === StagedJobState.Pending) {
    job.state = StagedJobState.Running;
    writeProgress(update, job);
    update.emit(logChange("Job started", {
      job: job.jobId,
      queue: job.record.queue.name,
      team: job.record.team,
    }));
  }
}
