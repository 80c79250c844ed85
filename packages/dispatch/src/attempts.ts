import type { Update } from "@mustardweir/kernel";
import { StagedJobState } from "@mustardweir/model";
import {
  AttemptEnd,
  count,
  logChange,
  OrderOutcome,
  type RunningAttempt,
} from "@mustardweir/protocol";
import { dropPermits, invalidatePermit } from "@mustardweir/permits";
import {
  type PlacedAttempt,
  recordFoundAttempt,
  stopAttempt,
} from "@mustardweir/sessions";
import {
  BOOK,
  bookedSize,
  findTask,
  freeRoom,
  isJobDone,
  isOpen,
  isStageDone,
  type StageRun,
  takeRoom,
  TaskPhase,
  type TaskRun,
} from "./book.ts";
import { WORKER_HEALTH } from "./health.ts";
import { endJob, stopTask, writeProgress } from "./progress.ts";
import { requestPump } from "./pump.ts";

/** Pause before a task that failed is started again, in milliseconds. */
const RETRY_MS = 20;

/** The worker has taken the start. */
export function attemptRunning(update: Update, placed: PlacedAttempt): void {
  const task = findPlaced(update, placed);
  if (task !== undefined) {
    task.isRunning = true;
    task.progressedMs = update.now;
  }
}

/** The worker lists the attempt with its progress. */
export function attemptListed(
  update: Update,
  workerId: string,
  listed: RunningAttempt,
): void {
  const task = findPlaced(update, { workerId, ...listed });
  if (task !== undefined) {
    if (listed.percent > task.percent) {
      task.progressedMs = update.now;
    }
    task.percent = listed.percent;
    task.checkpoint = listed.checkpoint || task.checkpoint;
  }
}

/** The start was refused and never takes effect. */
export function attemptRefused(
  update: Update,
  placed: PlacedAttempt & { readonly outcome: OrderOutcome },
): void {
  const task = findPlaced(update, placed);
  if (task === undefined) {
    return;
  }
  release(update, task);
  const { outcome, workerId } = placed;
  if (outcome === OrderOutcome.NoPermit) {
    invalidatePermit(update, task.stage.name, workerId);
  }
  if (
    outcome === OrderOutcome.Unhealthy || outcome === OrderOutcome.Rejected ||
    outcome === OrderOutcome.NoRoom
  ) {
    update.write(WORKER_HEALTH).refused(workerId, update.now);
  }
  task.notBeforeMs = update.now + RETRY_MS;
  requestPump(update);
}

/** The attempt is gone without an end. */
export function attemptVanished(
  update: Update,
  placed: PlacedAttempt & { readonly reason: string },
): void {
  const task = findPlaced(update, placed);
  if (task === undefined) {
    return;
  }
  update.emit(count("attempts-vanished"));
  update.emit(logChange("Attempt lost", {
    task: placed.task,
    attempt: placed.attempt,
    worker: placed.workerId,
    reason: placed.reason,
  }));
  task.givenUpAttempt = placed.attempt;
  release(update, task);
  breakGang(update, task);
  requestPump(update);
}

/** The worker listed an end. */
export function attemptEnded(
  update: Update,
  ended: PlacedAttempt & {
    readonly end: AttemptEnd;
    readonly checkpoint: string;
    readonly isNew: boolean;
  },
): void {
  const task = findTask(update, ended.task);
  if (task === undefined || ended.attempt <= task.givenUpAttempt) {
    return;
  }
  if (ended.attempt < task.attempt) {
    // A predecessor's failure still counts when its next attempt, on another
    // worker, was found first.
    if (ended.end === AttemptEnd.Failed && ended.isNew) {
      countFailure(update, task, ended.workerId);
    }
    return;
  }
  const { stage } = task;
  const isCurrent = findPlaced(update, ended) === task;
  const ranMs = isCurrent ? Math.round(update.now - task.placedMs) : 0;
  if (isCurrent) {
    release(update, task);
  }
  task.attempt = Math.max(task.attempt, ended.attempt);
  task.checkpoint = ended.checkpoint || task.checkpoint;
  update.emit(count(`ends-${ended.end}`));
  update.emit(logChange("Attempt ended", {
    task: ended.task,
    attempt: ended.attempt,
    worker: ended.workerId,
    end: ended.end,
    ranMs,
  }));
  if (ended.end === AttemptEnd.Done && !stage.spec.lasting) {
    update.write(WORKER_HEALTH).succeeded(ended.workerId, {
      queue: stage.job.record.queue.name,
      now: update.now,
    });
    if (isCurrent && ended.checkpoint === "") {
      compareRun(update, stage, { workerId: ended.workerId, ranMs });
    }
    finishTask(update, task);
  } else if (ended.end === AttemptEnd.Failed && ended.isNew) {
    countFailure(update, task, ended.workerId);
  }
  if (isCurrent && ended.end !== AttemptEnd.Done) {
    breakGang(update, task);
  }
  requestPump(update);
}

/** The worker lists an attempt that this owner hasn't started. */
export function attemptFound(
  update: Update,
  workerId: string,
  found: RunningAttempt,
): void {
  const task = findTask(update, found.task);
  const isWanted = task !== undefined && task.phase === TaskPhase.Waiting &&
    isOpen(task.stage.job) && found.attempt >= task.attempt &&
    found.attempt > task.givenUpAttempt;
  recordFoundAttempt(update, {
    workerId,
    task: found.task,
    attempt: found.attempt,
    size: task && bookedSize(task.stage),
  });
  if (!isWanted) {
    update.emit(logChange("Stopping an attempt that isn't wanted", {
      task: found.task,
      attempt: found.attempt,
      worker: workerId,
      known: task !== undefined,
    }));
    stopAttempt(update, { workerId, ...found });
    return;
  }
  task.phase = TaskPhase.Placed;
  task.workerId = workerId;
  task.attempt = found.attempt;
  task.placedMs = update.now;
  task.isStopping = false;
  task.isRunning = true;
  task.checkpoint = found.checkpoint || task.checkpoint;
  task.percent = found.percent;
  task.progressedMs = update.now;
  takeRoom(update.write(BOOK), task);
  update.emit(count("attempts-adopted"));
}

function findPlaced(
  update: Update,
  { task: name, attempt, workerId }: PlacedAttempt,
): TaskRun | undefined {
  const task = findTask(update, name);
  return task?.phase === TaskPhase.Placed && task.attempt === attempt &&
      task.workerId === workerId
    ? task
    : undefined;
}

function release(update: Update, task: TaskRun): void {
  freeRoom(update.write(BOOK), task);
  task.phase = TaskPhase.Waiting;
  task.isStopping = false;
  task.isRunning = false;
  forgetEnded(update, task);
}

/** A job that has ended is dropped with its last attempt. */
function forgetEnded(update: Update, { stage: { job } }: TaskRun): void {
  const isBusy = [...job.stages.values()].some((stage) =>
    stage.tasks.some((task) => task.phase === TaskPhase.Placed)
  );
  if (!isOpen(job) && !isBusy) {
    update.write(BOOK).jobs.delete(job.jobId);
  }
}

/** Learns how fast the worker is from other tasks of the same stage. */
function compareRun(
  update: Update,
  stage: StageRun,
  { workerId, ranMs }: { readonly workerId: string; readonly ranMs: number },
): void {
  if (stage.ranCount > 0) {
    const usualMs = stage.ranMs / stage.ranCount;
    update.write(WORKER_HEALTH).ran(workerId, ranMs / Math.max(usualMs, 1));
  }
  stage.ranMs += ranMs;
  stage.ranCount++;
}

function finishTask(update: Update, task: TaskRun): void {
  const { stage } = task;
  const finished = stage.spec.gang ? stage.tasks : [task];
  for (const member of finished) {
    if (member.phase === TaskPhase.Done) {
      continue;
    }
    if (member.phase === TaskPhase.Placed) {
      stopTask(update, member);
      freeRoom(update.write(BOOK), member);
    }
    member.phase = TaskPhase.Done;
    member.checkpoint = "";
    stage.doneCount++;
  }
  const { job } = stage;
  if (isStageDone(stage)) {
    dropPermits(update, stage.name);
  }
  if (!isOpen(job)) {
    return;
  }
  if (isJobDone(job)) {
    endJob(update, job, StagedJobState.Completed);
    forgetEnded(update, task);
  } else {
    writeProgress(update, job);
  }
}

function countFailure(update: Update, task: TaskRun, workerId: string): void {
  const { stage } = task;
  const { job } = stage;
  task.failedOn.add(workerId);
  task.notBeforeMs = update.now + RETRY_MS;
  const health = update.write(WORKER_HEALTH);
  const { name: queue } = job.record.queue;
  if (health.failed(workerId, { queue, now: update.now })) {
    update.emit(logChange("Worker kept out", { worker: workerId }));
  }
  if (stage.spec.lasting || !isOpen(job)) {
    return;
  }
  const counted = stage.spec.gang ? stage.tasks[0]! : task;
  counted.failures++;
  if (counted.failures >= job.record.queue.maxAttempts) {
    endJob(update, job, StagedJobState.Failed);
    forgetEnded(update, task);
  } else {
    writeProgress(update, job);
  }
}

/** A gang that has lost a member starts again as a whole. */
function breakGang(update: Update, { stage }: { stage: StageRun }): void {
  if (stage.spec.gang && !isStageDone(stage)) {
    stage.tasks.forEach((task) => stopTask(update, task));
  }
}
