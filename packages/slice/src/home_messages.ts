import type { Update } from "@mustardweir/kernel";
import { homeUnit, OWNERSHIP, resolveOwner } from "@mustardweir/membership";
import {
  type Ask,
  type AskRoom,
  type CommitHolds,
  DeclineReason,
  type FenceHome,
  type HomeSliceAddress,
  PeerMessageKind,
  RoomResult,
  sendPeer,
  type StopTasks,
  TaskPhase,
  type TaskReport,
  type WithdrawAsks,
} from "@mustardweir/protocol";
import {
  markCommandsPending,
  type Slice,
  type SliceTask,
  type TeamView,
} from "./slice_state.ts";
import { cancelStart, removeTask, reportStarted } from "./tasks.ts";
import { answerAsk, declineAsk, raiseFloor, teamView } from "./team_view.ts";

/** Maximum number of a team's asks (requests for room) that wait in a slice. */
const MAX_QUEUED_ASKS = 1_024;

/** Upper bound of `knownForMs`, since messages can't carry Infinity. */
const MAX_KNOWN_MS = 365 * 24 * 60 * 60 * 1_000;

/** A message and the node that sent it. */
export interface Received<Message> {
  readonly from: string;
  readonly message: Message;
}

/**
 * Returns the team's view if the message comes from the team's newest home and
 * is addressed to this epoch of the slice; undefined when it is stale. Stale
 * asks are not declined: an earlier owner of the slice may have started their
 * tasks.
 */
export function admitMessage(
  update: Update,
  slice: Slice,
  { from, message }: Received<HomeSliceAddress>,
): TeamView | undefined {
  const hasScanned = update.read(OWNERSHIP).scannedAt >= slice.acquiredAt;
  const newest = resolveOwner(update, homeUnit(message.team))?.epoch ?? 0;
  const isStale = message.sliceEpoch !== slice.epoch ||
    message.homeEpoch < newest;
  const view = teamView(slice, message.team);
  if (!hasScanned || isStale || message.homeEpoch < view.homeEpoch) {
    return undefined;
  }
  if (message.homeEpoch > view.homeEpoch) {
    changeHome(slice, { view, homeEpoch: message.homeEpoch });
  }
  view.homeNode = from;
  return view;
}

interface HomeChange {
  readonly view: TeamView;
  readonly homeEpoch: number;
}

/** Drops the asks of the old home and its holds that are not started. */
function changeHome(slice: Slice, { view, homeEpoch }: HomeChange): void {
  for (const task of [...view.tasksBySeq.values()]) {
    if (task.phase === TaskPhase.Held) {
      removeTask(slice, task);
    }
  }
  view.homeEpoch = homeEpoch;
  view.floor = 0;
  view.queue.clear();
  view.tasksBySeq.clear();
  view.settled.clear();
  view.declined.clear();
  slice.outbox.delete(view.team);
}

/** Sends a home the tasks of its team that the slice has, except holds. */
export function sendInventory(
  update: Update,
  slice: Slice,
  view: TeamView,
): void {
  const reports: TaskReport[] = [...slice.tasks.values()]
    .filter((task) => task.task.team === view.team)
    .filter((task) => task.phase !== TaskPhase.Held)
    .map(({ task, phase, worker, end }) => ({
      task,
      phase,
      instanceId: worker.instanceId,
      ...(end === undefined ? {} : { end }),
    }));
  update.emit(sendPeer(view.homeNode, {
    kind: PeerMessageKind.HomeInventory,
    ...addressOf(slice, view),
    complete: slice.complete,
    knownForMs: knownForMs(update, slice),
    tasks: reports,
  }));
}

/**
 * Time for which every worker of the slice has kept its record of tasks, in
 * milliseconds; 0 while one of them may have restarted.
 */
function knownForMs(update: Update, slice: Slice): number {
  let since = -Infinity;
  for (const { upSince } of slice.workers.values()) {
    since = Math.max(since, upSince);
  }
  return Math.min(Math.max(update.now - since, 0), MAX_KNOWN_MS);
}

/** The ids and epochs of the slice and the home. */
export function addressOf(slice: Slice, view: TeamView): HomeSliceAddress {
  return {
    team: view.team,
    homeEpoch: view.homeEpoch,
    sliceId: slice.sliceId,
    sliceEpoch: slice.epoch,
  };
}

export function receiveFence(
  update: Update,
  slice: Slice,
  received: Received<FenceHome>,
): void {
  const view = admitMessage(update, slice, received);
  if (view !== undefined) {
    sendInventory(update, slice, view);
  }
}

export function receiveAsks(
  update: Update,
  slice: Slice,
  received: Received<AskRoom>,
): void {
  const view = admitMessage(update, slice, received);
  if (view === undefined) {
    return;
  }
  raiseFloor(view, received.message.floor);
  for (const ask of received.message.asks) {
    receiveAsk(update, slice, { view, ask });
  }
}

interface TeamAsk {
  readonly view: TeamView;
  readonly ask: Ask;
}

function receiveAsk(
  update: Update,
  slice: Slice,
  { view, ask }: TeamAsk,
): void {
  const { seq } = ask;
  if (isSettled(view, seq) || extendAsk(update, { view, ask })) {
    return;
  }
  if (repeatAnswer(slice, view, seq)) {
    return;
  }
  if (view.queue.size >= MAX_QUEUED_ASKS) {
    const { taskId } = ask.task;
    const reason = DeclineReason.Overloaded;
    declineAsk(slice, view, { seq, taskId, reason });
    return;
  }
  slice.mayGrantMore = true;
  view.queue.set({
    ask,
    receivedAt: update.now,
    expiresAt: update.now + ask.ttlMs,
  });
}

/**
 * Extends the deadline of a waiting ask, a hold or an unconfirmed start.
 * Returns whether the ask waits in the queue.
 */
function extendAsk(update: Update, { view, ask }: TeamAsk): boolean {
  const { seq } = ask;
  const expiresAt = update.now + ask.ttlMs;
  const queued = view.queue.get(seq);
  if (queued !== undefined) {
    view.queue.set({ ...queued, expiresAt });
  }
  const task = view.tasksBySeq.get(seq);
  const isOpen = task?.phase === TaskPhase.Starting ||
    task?.phase === TaskPhase.Held;
  if (task !== undefined && isOpen) {
    task.startBy = expiresAt;
  }
  return queued !== undefined;
}

/**
 * Whether the ask needs no more answers. The end of its task is reported
 * separately until the home acknowledges it.
 */
function isSettled(view: TeamView, seq: number): boolean {
  return seq < view.floor || view.settled.has(seq);
}

/**
 * Repeats the answer to an ask that was granted or declined before; returns
 * false when it is new. A start that is not confirmed has no answer yet.
 */
function repeatAnswer(slice: Slice, view: TeamView, seq: number): boolean {
  const declined = view.declined.get(seq);
  if (declined !== undefined) {
    answerAsk(slice, view, declined);
    return true;
  }
  const task = view.tasksBySeq.get(seq);
  if (task === undefined) {
    return false;
  }
  if (task.phase === TaskPhase.Running) {
    reportStarted(slice, task);
  } else if (task.phase === TaskPhase.Held) {
    reportHeld(slice, view, task);
  }
  return true;
}

/** Reports to the home that room is held for a task. */
export function reportHeld(
  slice: Slice,
  view: TeamView,
  { task, worker }: SliceTask,
): void {
  answerAsk(slice, view, {
    seq: task.askSeq,
    taskId: task.taskId,
    result: RoomResult.Held,
    instanceId: worker.instanceId,
  });
}

export function receiveWithdrawal(
  update: Update,
  slice: Slice,
  received: Received<WithdrawAsks>,
): void {
  const view = admitMessage(update, slice, received);
  if (view === undefined) {
    return;
  }
  for (const seq of received.message.seqs) {
    withdrawAsk(update, slice, { view, seq });
  }
}

interface TeamSeq {
  readonly view: TeamView;
  readonly seq: number;
}

/**
 * Withdraws an ask or a hold. An ask that never arrived is declined too, so that
 * a late copy of it is not granted.
 */
function withdrawAsk(
  update: Update,
  slice: Slice,
  { view, seq }: TeamSeq,
): void {
  const reason = DeclineReason.Withdrawn;
  const task = view.tasksBySeq.get(seq);
  if (task?.phase === TaskPhase.Held) {
    cancelStart(update, slice, { task, reason });
    return;
  }
  if (isSettled(view, seq)) {
    return;
  }
  if (!view.queue.has(seq) && repeatAnswer(slice, view, seq)) {
    return;
  }
  const taskId = view.queue.get(seq)?.ask.task.taskId ?? "";
  declineAsk(slice, view, { seq, taskId, reason });
}

/**
 * Returns the held tasks that a commit starts; repeats the earlier answers to
 * its other asks.
 */
export function receiveCommit(
  update: Update,
  slice: Slice,
  received: Received<CommitHolds>,
): SliceTask[] {
  const view = admitMessage(update, slice, received);
  const committed: SliceTask[] = [];
  for (const seq of view === undefined ? [] : received.message.seqs) {
    const task = view?.tasksBySeq.get(seq);
    if (task?.phase === TaskPhase.Held) {
      committed.push(task);
    } else if (view !== undefined) {
      repeatAnswer(slice, view, seq);
    }
  }
  return committed;
}

export function receiveStops(
  update: Update,
  slice: Slice,
  received: Received<StopTasks>,
): void {
  if (admitMessage(update, slice, received) === undefined) {
    return;
  }
  const { taskIds, mode } = received.message;
  for (const taskId of taskIds) {
    const task = slice.tasks.get(taskId);
    if (task?.phase === TaskPhase.Held) {
      const reason = DeclineReason.Withdrawn;
      cancelStart(update, slice, { task, reason });
    } else if (task !== undefined) {
      stopTask(task, mode);
    }
  }
}

/** Queues the stop of a task for the next call to its worker. */
export function stopTask(task: SliceTask, mode: StopTasks["mode"]): void {
  if (task.stop !== mode && task.phase !== TaskPhase.Ended) {
    task.stop = mode;
    markCommandsPending(task.worker);
  }
}
