import type { Update } from "@mustardweir/kernel";
import { isFinal, StagedJobState } from "@mustardweir/model";
import {
  AttemptEnd,
  count,
  logChange,
  OrderOutcome,
  type RunningAttempt,
} from "@mustardweir/protocol";
import { dropPermits, invalidatePermit } from "@mustardweir/permits";
import { REPLICA, stateOf } from "@mustardweir/replica";
import { AttemptStart } from "@mustardweir/run-times";
import {
  evidenceFields,
  type LeaseEvidence,
  type LossCause,
  type PlacedAttempt,
  type PreviousAttempt,
  recordFoundAttempt,
  stopAttempt,
} from "@mustardweir/sessions";
import {
  addTeamUsage,
  closeOccurrence,
  DISPATCH_STATE,
  findStageSpec,
  findTask,
  firstAttemptNumber,
  isOccurrenceDone,
  isOpen,
  isStageDone,
  markProgressed,
  parseTaskName,
  reservedSize,
  type StageRun,
  subtractTeamUsage,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import { WORKER_HEALTH } from "./health.ts";
import { findReportedTask } from "./occurrences.ts";
import { endJob, stopTask, writeProgress } from "./progress.ts";
import { reportRun } from "./run_reports.ts";
import { requestPlacementPass } from "./placement_pass.ts";
import { addUnwantedAttempt } from "./unwanted_attempts.ts";
import { addDependents, addWaiting } from "./waiting.ts";

/**
 * Delay before a failed task or a refused start is retried, in milliseconds.
 */
const RETRY_DELAY_MS = 20;

/** Handles the confirmation that the worker runs the attempt. */
export function handleAttemptRunning(
  update: Update,
  placed: PlacedAttempt,
): void {
  const task = findPlacedTask(update, placed);
  if (task !== undefined) {
    task.isRunning = true;
    task.confirmedMs = update.now;
    task.progressedMs = update.now;
    noteBegun(update, task);
  }
}

/**
 * Notes that a worker runs or has run the task. Its job is running from then on:
 * a start that was only ordered may still be turned away.
 */
function noteBegun(
  update: Update,
  { stage: { job, occurrence } }: TaskRun,
): void {
  job.occurrences.begin(occurrence);
  if (job.state === StagedJobState.Pending) {
    job.state = StagedJobState.Running;
    job.changedParts.add(0);
    writeProgress(update, job);
    update.emit(logChange("Job started", {
      job: job.jobId,
      queue: job.record.queue.name,
      team: job.record.team,
    }));
  }
}

/** Updates a placed task's progress and checkpoint from a worker's listing. */
export function handleAttemptListed(
  update: Update,
  workerId: string,
  listed: RunningAttempt,
): void {
  const task = findPlacedTask(update, { workerId, ...listed });
  if (task !== undefined) {
    if (listed.percent > task.percent) {
      task.progressedMs = update.now;
    }
    task.percent = listed.percent;
    task.checkpoint = listed.checkpoint || task.checkpoint;
  }
}

/** Handles a start that was refused and can no longer take effect. */
export function handleAttemptRefused(
  update: Update,
  placed: PlacedAttempt & { readonly outcome: OrderOutcome },
): void {
  const task = findPlacedTask(update, placed);
  if (task === undefined) {
    return;
  }
  const { outcome, workerId } = placed;
  returnToWaiting(update, task, outcome);
  if (outcome === OrderOutcome.NoPermit) {
    invalidatePermit(update, task.stage.name, workerId);
  }
  if (
    outcome === OrderOutcome.Unhealthy || outcome === OrderOutcome.Rejected ||
    outcome === OrderOutcome.NoRoom
  ) {
    update.write(WORKER_HEALTH).refused(workerId, update.now);
  }
  task.notBeforeMs = update.now + RETRY_DELAY_MS;
  requestPlacementPass(update);
}

/** Handles an attempt that was lost without a reported end. */
export function handleAttemptVanished(
  update: Update,
  placed: PlacedAttempt & {
    readonly reason: LossCause;
    readonly evidence?: LeaseEvidence;
  },
): void {
  const task = findPlacedTask(update, placed);
  if (task === undefined) {
    return;
  }
  update.emit(count("attempts-vanished"));
  update.emit(logChange("Attempt lost", {
    task: placed.task,
    attempt: placed.attempt,
    worker: placed.workerId,
    reason: placed.reason,
    ...evidenceFields(placed.evidence),
  }));
  task.abandonedAttempt = placed.attempt;
  returnToWaiting(update, task, placed.reason);
  stopGang(update, task);
  requestPlacementPass(update);
}

/** Handles the end of an attempt that the worker reported. */
export function handleAttemptEnded(
  update: Update,
  ended: PlacedAttempt & {
    readonly end: AttemptEnd;
    readonly checkpoint: string;
    readonly isNew: boolean;
  },
): void {
  const task = findReportedTask(update, ended.task);
  if (task === undefined) {
    reportUnknownTask(update, ended);
    return;
  }
  if (ended.attempt <= task.abandonedAttempt) {
    return;
  }
  if (ended.attempt < task.attempt) {
    // A failure under the previous owner still counts, even if the task's next
    // attempt was found first on another worker.
    if (ended.end === AttemptEnd.Failed && ended.isNew) {
      countFailure(update, task, ended);
    }
    return;
  }
  noteBegun(update, task);
  const { stage } = task;
  const isCurrent = findPlacedTask(update, ended) === task;
  const ranMs = isCurrent ? Math.round(update.now - task.placedMs) : 0;
  if (isCurrent) {
    returnToWaiting(update, task, ended.end);
  }
  task.attempt = Math.max(task.attempt, ended.attempt);
  task.checkpoint = ended.checkpoint || task.checkpoint;
  markProgressed(task);
  update.emit(count(`ends-${ended.end}`));
  update.emit(logChange("Attempt ended", {
    task: ended.task,
    attempt: ended.attempt,
    worker: ended.workerId,
    end: ended.end,
    ranMs,
  }));
  if (ended.end === AttemptEnd.Done && !stage.spec.lasting) {
    if (isCurrent) {
      reportRun(update, task, ranMs);
    }
    update.write(WORKER_HEALTH).succeeded(ended.workerId, {
      queue: stage.job.record.queue.name,
      now: update.now,
    });
    if (isCurrent && ended.checkpoint === "") {
      recordRunTime(update, stage, { workerId: ended.workerId, ranMs });
    }
    finishTask(update, task);
  } else if (ended.end === AttemptEnd.Failed && ended.isNew) {
    countFailure(update, task, ended);
  }
  if (isCurrent && ended.end !== AttemptEnd.Done) {
    stopGang(update, task);
  }
  // A pass follows when the whole listing has been handled.
  update.write(DISPATCH_STATE).isDirty = true;
}

/** Reports an end that changes nothing though its job isn't known to be over. */
function reportUnknownTask(
  update: Update,
  { task, attempt, workerId, end }: PlacedAttempt & {
    readonly end: AttemptEnd;
  },
): void {
  const jobId = parseTaskName(task)?.jobId ?? "";
  const known = update.read(REPLICA).jobs.get(jobId);
  const isOver = update.read(DISPATCH_STATE).ended.has(jobId) ||
    (known !== undefined && isFinal(stateOf(known)));
  if (!isOver) {
    update.emit(count("ends-of-unknown-tasks"));
    update.emit(logChange("Unknown task ended", {
      task,
      attempt,
      worker: workerId,
      end,
    }));
  }
}

/**
 * Handles an attempt that a worker runs but this owner did not start: adopts it
 * if its task still waits, and otherwise stops it.
 */
export function handleAttemptFound(
  update: Update,
  workerId: string,
  found: RunningAttempt,
): void {
  const task = findReportedTask(update, found.task);
  const isWanted = task !== undefined && task.phase === TaskPhase.Waiting &&
    isOpen(task.stage.job) && found.attempt >= task.attempt &&
    found.attempt > task.abandonedAttempt;
  const spec = findStageSpec(update, found.task);
  recordFoundAttempt(update, {
    workerId,
    task: found.task,
    attempt: found.attempt,
    size: spec && reservedSize({ spec }),
  });
  if (!isWanted) {
    update.emit(logChange("Stopping an attempt that isn't wanted", {
      task: found.task,
      attempt: found.attempt,
      worker: workerId,
      known: task !== undefined,
    }));
    addUnwantedAttempt(update, { workerId, ...found });
    stopAttempt(update, { workerId, ...found });
    return;
  }
  task.phase = TaskPhase.Placed;
  task.workerId = workerId;
  task.attempt = found.attempt;
  task.placedMs = update.now;
  task.isStopping = false;
  task.isRunning = true;
  task.start = AttemptStart.Adopted;
  task.confirmedMs = undefined;
  task.checkpoint = found.checkpoint || task.checkpoint;
  task.percent = found.percent;
  task.progressedMs = update.now;
  noteBegun(update, task);
  addTeamUsage(update.write(DISPATCH_STATE), task);
  update.emit(count("attempts-adopted"));
}

function findPlacedTask(
  update: Update,
  { task: name, attempt, workerId }: PlacedAttempt,
): TaskRun | undefined {
  const task = findTask(update, name);
  return task?.phase === TaskPhase.Placed && task.attempt === attempt &&
      task.workerId === workerId
    ? task
    : undefined;
}

function returnToWaiting(
  update: Update,
  task: TaskRun,
  reason: PreviousAttempt["reason"],
): void {
  task.previous = { attempt: task.attempt, reason };
  subtractTeamUsage(update.write(DISPATCH_STATE), task);
  task.phase = TaskPhase.Waiting;
  task.isStopping = false;
  task.isRunning = false;
  addWaiting(update, task.stage);
  removeIfFinished(update, task);
}

/** Removes a job that has ended once none of its tasks is placed. */
export function removeIfFinished(
  update: Update,
  { stage: { job } }: TaskRun,
): void {
  if (isOpen(job)) {
    return;
  }
  const isBusy = [...job.stages.values()].some(({ tasks }) =>
    tasks.some(({ phase }) => phase === TaskPhase.Placed)
  );
  if (!isBusy) {
    update.write(DISPATCH_STATE).jobs.delete(job.jobId);
  }
}

/**
 * Compares the run time with the mean of the stage's other tasks, to estimate
 * the worker's slowness.
 */
function recordRunTime(
  update: Update,
  stage: StageRun,
  { workerId, ranMs }: { readonly workerId: string; readonly ranMs: number },
): void {
  if (stage.ranCount > 0) {
    const meanMs = stage.ranMs / stage.ranCount;
    update.write(WORKER_HEALTH).ran(workerId, ranMs / Math.max(meanMs, 1));
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
      subtractTeamUsage(update.write(DISPATCH_STATE), member);
    }
    member.phase = TaskPhase.Done;
    member.checkpoint = "";
    markProgressed(member);
    stage.doneCount++;
  }
  const { job } = stage;
  if (isStageDone(stage)) {
    dropPermits(update, stage.name);
    update.write(DISPATCH_STATE).waiting.remove(stage);
    if (isOccurrenceDone(stage)) {
      closeOccurrence(job, stage.occurrence);
    } else {
      addDependents(update, stage);
    }
  }
  if (!isOpen(job)) {
    return;
  }
  if (job.occurrences.isSettled) {
    endJob(update, job, StagedJobState.Completed);
    removeIfFinished(update, task);
  } else {
    writeProgress(update, job);
  }
}

/**
 * Counts a failed attempt. All members of a gang that fail in one of its attempts
 * are one failure of the gang.
 */
function countFailure(
  update: Update,
  task: TaskRun,
  { workerId, attempt }: PlacedAttempt,
): void {
  const { stage } = task;
  const { job } = stage;
  task.failedOn.add(workerId);
  task.notBeforeMs = update.now + RETRY_DELAY_MS;
  const health = update.write(WORKER_HEALTH);
  const { name: queue } = job.record.queue;
  if (health.failed(workerId, { queue, now: update.now })) {
    update.emit(logChange("Worker kept out", { worker: workerId }));
  }
  if (stage.spec.lasting || !isOpen(job)) {
    return;
  }
  const counted = stage.spec.gang ? stage.tasks[0]! : task;
  const { failures } = counted;
  const { epoch } = update.read(DISPATCH_STATE);
  if (
    stage.spec.gang && failures.isAnonymous &&
    attempt < firstAttemptNumber(epoch)
  ) {
    // An earlier version has most likely counted it for another member.
    failures.identify(attempt);
  }
  if (!failures.add(attempt)) {
    return;
  }
  markProgressed(counted);
  if (failures.count >= job.record.queue.maxAttempts) {
    endJob(update, job, StagedJobState.Failed);
    removeIfFinished(update, task);
  } else {
    writeProgress(update, job);
  }
}

/**
 * Stops all members of a gang that lost one, so that the gang restarts as a
 * whole.
 */
function stopGang(update: Update, { stage }: { stage: StageRun }): void {
  if (stage.spec.gang && !isStageDone(stage)) {
    stage.tasks.forEach((task) => stopTask(update, task));
  }
}
