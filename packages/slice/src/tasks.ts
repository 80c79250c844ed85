import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  EndReason,
  JobKind,
  subtractResources,
} from "@mustardweir/model";
import {
  count,
  DeclineReason,
  RoomResult,
  type TaskEnd,
  TaskPhase,
  type TaskSpec,
} from "@mustardweir/protocol";
import { recordOutcome } from "./health.ts";
import {
  markCommandsPending,
  noteRoomFreed,
  type Slice,
  type SliceTask,
  type Worker,
} from "./slice_state.ts";
import { answerAsk, declineAsk, teamView } from "./team_view.ts";

/** A time that stands for an event that has not happened yet. */
const NEVER = -Infinity;

export interface AddTaskOptions {
  readonly task: TaskSpec;
  readonly worker: Worker;
  readonly phase: TaskPhase;
  /** True if a worker already runs the task; it is counted even without room. */
  readonly isAdopted?: boolean;
  readonly startBy?: number;
}

/** Adds a task and allocates its room; an ended task takes none. */
export function addTask(slice: Slice, options: AddTaskOptions): SliceTask {
  const { task, worker, phase } = options;
  const added: SliceTask = {
    task,
    worker,
    phase,
    startSeq: 0,
    startBy: options.startBy ?? Infinity,
    runningSince: NEVER,
    stop: undefined,
    revokeReason: undefined,
    end: undefined,
    endReportedAt: NEVER,
  };
  slice.tasks.set(task.taskId, added);
  worker.tasks.add(added);
  if (phase === TaskPhase.Ended) {
    queueEndReport(slice, added);
    return added;
  }
  if (options.isAdopted) {
    slice.table.allocateRunning(worker.index, task.size);
  } else {
    slice.table.allocate(worker.index, task.size);
  }
  if (task.kind === JobKind.Service) {
    slice.spread.add(added);
  }
  const view = teamView(slice, task.team);
  view.used = addResources(view.used, task.size);
  return added;
}

/** Marks a starting task as running and reports it to the home. */
export function confirmStart(
  update: Update,
  slice: Slice,
  task: SliceTask,
): void {
  if (task.phase !== TaskPhase.Starting) {
    return;
  }
  task.phase = TaskPhase.Running;
  task.runningSince = update.now;
  update.emit(count("tasks_started"));
  reportStarted(slice, task);
}

/** Answers the task's ask as started. */
export function reportStarted(slice: Slice, task: SliceTask): void {
  const view = teamView(slice, task.task.team);
  answerAsk(slice, view, {
    seq: task.task.askSeq,
    taskId: task.task.taskId,
    result: RoomResult.Started,
    instanceId: task.worker.instanceId,
  });
}

/** Ends a task and releases its room; queues the report of its end. */
export function finishTask(
  update: Update,
  slice: Slice,
  { task, end }: { readonly task: SliceTask; readonly end: TaskEnd },
): void {
  if (task.phase === TaskPhase.Ended) {
    return;
  }
  releaseRoom(slice, task);
  task.phase = TaskPhase.Ended;
  task.end = end;
  slice.held.delete(task);
  queueEndReport(slice, task);
  markAskSettled(slice, task);
  update.emit(count(`tasks_ended_${end.reason.replaceAll("-", "_")}`));
  recordOutcome(update, task, end.reason);
}

function queueEndReport(slice: Slice, task: SliceTask): void {
  slice.ended.add(task);
  slice.unreported.add(task);
}

/** Marks the task's ask as settled, so that a late copy is ignored. */
function markAskSettled(slice: Slice, { task }: SliceTask): void {
  const view = teamView(slice, task.team);
  if (view.homeEpoch === task.homeEpoch) {
    view.tasksBySeq.delete(task.askSeq);
    view.settled.add(task.askSeq);
  }
}

/** Ends a task as lost: its worker does not run it any more. */
export function loseTask(
  update: Update,
  slice: Slice,
  task: SliceTask,
): void {
  finishTask(update, slice, { task, end: { reason: EndReason.Lost } });
}

/**
 * Revokes a start that may be in flight. It is cancelled only when the worker
 * has replied to a call with a higher floor: until then calls that carry it may
 * still arrive.
 */
export function revokeStart(task: SliceTask, reason: DeclineReason): void {
  if (task.phase === TaskPhase.Starting && task.revokeReason === undefined) {
    task.revokeReason = reason;
    markCommandsPending(task.worker);
  }
}

/** Removes a task that can't start any more, and declines its ask. */
export function cancelStart(
  update: Update,
  slice: Slice,
  { task, reason }: {
    readonly task: SliceTask;
    readonly reason: DeclineReason;
  },
): void {
  const view = teamView(slice, task.task.team);
  if (task.task.homeEpoch !== view.homeEpoch) {
    loseTask(update, slice, task); // The newer home has counted it as started.
    return;
  }
  removeTask(slice, task);
  const { askSeq: seq, taskId } = task.task;
  declineAsk(slice, view, { seq, taskId, reason });
}

/** Removes a task and releases its room; an ended task has none. */
export function removeTask(slice: Slice, task: SliceTask): void {
  if (task.phase !== TaskPhase.Ended) {
    releaseRoom(slice, task);
  }
  slice.tasks.delete(task.task.taskId);
  slice.held.delete(task);
  slice.ended.delete(task);
  slice.unreported.delete(task);
  task.worker.tasks.delete(task);
  const view = teamView(slice, task.task.team);
  if (view.homeEpoch === task.task.homeEpoch) {
    view.tasksBySeq.delete(task.task.askSeq);
  }
}

function releaseRoom(slice: Slice, task: SliceTask): void {
  slice.table.release(task.worker.index, task.task.size);
  noteRoomFreed(slice);
  if (task.task.kind === JobKind.Service) {
    slice.spread.remove(task);
  }
  const view = teamView(slice, task.task.team);
  view.used = subtractResources(view.used, task.task.size);
}
