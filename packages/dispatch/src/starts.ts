import type { Update } from "@mustardweir/kernel";
import { AttemptStart } from "@mustardweir/run-times";
import { findValidPermit } from "@mustardweir/permits";
import {
  type PreviousAttempt,
  startAttempt,
  UnknownAttempt,
} from "@mustardweir/sessions";
import {
  addTeamUsage,
  DISPATCH_STATE,
  firstAttemptNumber,
  reservedSize,
  type StageRun,
  taskName,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import type { Placement } from "./placement_rules.ts";
import { WORKER_HEALTH } from "./health.ts";

/** Orders the workers of the placements to start their tasks. */
export function startTasks(
  update: Update,
  stage: StageRun,
  placements: readonly Placement[],
): void {
  const state = update.write(DISPATCH_STATE);
  const { payload } = stage.job.record.spec;
  state.link.spend(
    placements.length,
    Buffer.byteLength(payload),
    update.now,
  );
  const linkDelayMs = state.link.backlogMs(update.now);
  const gang = stage.spec.gang ? gangStart(stage, state.epoch) : undefined;
  for (const { task, candidate } of placements) {
    const workerId = candidate.session.info.id;
    task.attempt = gang?.attempt ??
      Math.max(task.attempt + 1, firstAttemptNumber(state.epoch));
    task.phase = TaskPhase.Placed;
    task.workerId = workerId;
    task.placedMs = update.now;
    task.isStopping = false;
    task.isRunning = false;
    task.start = task.checkpoint === ""
      ? AttemptStart.Fresh
      : AttemptStart.Resumed;
    task.confirmedMs = undefined;
    task.isolatedSinceMs = undefined;
    task.percent = 0;
    addTeamUsage(state, task);
    update.write(WORKER_HEALTH).started(workerId, update.now);
    const permit = findValidPermit(update, stage.name, workerId);
    startAttempt(update, {
      workerId,
      task: taskName(task),
      attempt: task.attempt,
      size: reservedSize(stage),
      payload,
      linkDelayMs,
      ...previousOf(task),
      checkpoint: gang?.checkpoint ?? task.checkpoint,
      ...(permit === undefined ? {} : { permit }),
    });
  }
}

/** Returns what is known of the task's attempt before, for the log. */
function previousOf(
  { previous, isInherited }: TaskRun,
): { readonly previous?: PreviousAttempt } {
  if (previous !== undefined) {
    return { previous };
  }
  return isInherited
    ? { previous: { attempt: undefined, reason: UnknownAttempt.NotFound } }
    : {};
}

/**
 * Returns the attempt number and the checkpoint with which all members of the
 * gang start.
 */
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
    attempt: placed?.attempt ??
      Math.max(highest + 1, firstAttemptNumber(epoch)),
    checkpoint,
  };
}
