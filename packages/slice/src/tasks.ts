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
import { noteOutcome } from "./health.ts";
import {
  noteNews,
  noteRoom,
  type Slice,
  type SliceTask,
  type Worker,
} from "./slice_state.ts";
import { answerAsk, declineAsk, teamView } from "./team_view.ts";

/** Nothing has been told to the home yet. */
const NEVER = -Infinity;

export interface AddTaskOptions {
  readonly task: TaskSpec;
  readonly worker: Worker;
  readonly phase: TaskPhase;
  /** For a task that a worker runs already, even where room is missing. */
  readonly isAdopted?: boolean;
  readonly startBy?: number;
}

/** Takes room for a task. */
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
    takenBack: undefined,
    end: undefined,
    toldAt: NEVER,
  };
  slice.tasks.set(task.taskId, added);
  worker.tasks.add(added);
  if (phase === TaskPhase.Ended) {
    noteEnded(slice, added);
    return added;
  }
  if (options.isAdopted) {
    slice.table.takeRunning(worker.index, task.size);
  } else {
    slice.table.take(worker.index, task.size);
  }
  if (task.kind === JobKind.Service) {
    slice.spread.add(added);
  }
  const view = teamView(slice, task.team);
  view.used = addResources(view.used, task.size);
  return added;
}

/** Marks a started task as running and tells the home. */
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
  tellStarted(slice, task);
}

/** Answers the ask that led to the task. */
export function tellStarted(slice: Slice, task: SliceTask): void {
  const view = teamView(slice, task.task.team);
  answerAsk(slice, view, {
    seq: task.task.askSeq,
    taskId: task.task.taskId,
    result: RoomResult.Started,
    instanceId: task.worker.instanceId,
  });
}

/** Gives the room back; the end is told until the home acknowledges it. */
export function finishTask(
  update: Update,
  slice: Slice,
  { task, end }: { readonly task: SliceTask; readonly end: TaskEnd },
): void {
  if (task.phase === TaskPhase.Ended) {
    return;
  }
  giveBack(slice, task);
  task.phase = TaskPhase.Ended;
  task.end = end;
  slice.held.delete(task);
  noteEnded(slice, task);
  settleAsk(slice, task);
  update.emit(count(`tasks_ended_${end.reason.replaceAll("-", "_")}`));
  noteOutcome(update, task, end.reason);
}

function noteEnded(slice: Slice, task: SliceTask): void {
  slice.ended.add(task);
  slice.untold.add(task);
}

/** Keeps late copies of the ask from starting the task again. */
function settleAsk(slice: Slice, { task }: SliceTask): void {
  const view = teamView(slice, task.team);
  if (view.homeEpoch === task.homeEpoch) {
    view.bySeq.delete(task.askSeq);
    view.settled.add(task.askSeq);
  }
}

/** Ends a task whose worker runs it no more, for whatever cause. */
export function loseTask(
  update: Update,
  slice: Slice,
  task: SliceTask,
): void {
  finishTask(update, slice, { task, end: { reason: EndReason.Lost } });
}

/**
 * Takes back a start that may be on its way to the worker: calls that carry
 * it may yet arrive until the worker has seen a higher floor.
 */
export function takeBackStart(task: SliceTask, reason: DeclineReason): void {
  if (task.phase === TaskPhase.Starting && task.takenBack === undefined) {
    task.takenBack = reason;
    noteNews(task.worker);
  }
}

/** Takes back a task that has not started and will not. */
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
    loseTask(update, slice, task); // The home knows it as started.
    return;
  }
  removeTask(slice, task);
  const { askSeq: seq, taskId } = task.task;
  declineAsk(slice, view, { seq, taskId, reason });
}

/** Forgets a task; its room is given back unless it has ended. */
export function removeTask(slice: Slice, task: SliceTask): void {
  if (task.phase !== TaskPhase.Ended) {
    giveBack(slice, task);
  }
  slice.tasks.delete(task.task.taskId);
  slice.held.delete(task);
  slice.ended.delete(task);
  slice.untold.delete(task);
  task.worker.tasks.delete(task);
  const view = teamView(slice, task.task.team);
  if (view.homeEpoch === task.task.homeEpoch) {
    view.bySeq.delete(task.task.askSeq);
  }
}

function giveBack(slice: Slice, task: SliceTask): void {
  slice.table.giveBack(task.worker.index, task.task.size);
  noteRoom(slice);
  if (task.task.kind === JobKind.Service) {
    slice.spread.remove(task);
  }
  const view = teamView(slice, task.task.team);
  view.used = subtractResources(view.used, task.task.size);
}
