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
  noteNews,
  type Slice,
  type SliceTask,
  type TeamView,
} from "./slice_state.ts";
import { cancelStart, removeTask, tellStarted } from "./tasks.ts";
import { answerAsk, declineAsk, raiseFloor, teamView } from "./team_view.ts";

/** Most asks of a team that wait in a slice. */
const MAX_QUEUED_ASKS = 1_024;

/** Longest time that is told; messages carry no infinity. */
const MAX_KNOWN_MS = 365 * 24 * 60 * 60 * 1_000;

export interface Received<Message> {
  readonly from: string;
  readonly message: Message;
}

/**
 * The team's view when the message is from its newest home and meant for this
 * epoch of the slice; undefined when it is stale. Stale asks are not
 * declined: a start by an earlier epoch may have come of them.
 */
export function admitHome(
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

/** Drops the asks of the old home; what it holds but did not start, too. */
function changeHome(slice: Slice, { view, homeEpoch }: HomeChange): void {
  for (const task of [...view.bySeq.values()]) {
    if (task.phase === TaskPhase.Held) {
      removeTask(slice, task);
    }
  }
  view.homeEpoch = homeEpoch;
  view.floor = 0;
  view.queue.clear();
  view.bySeq.clear();
  view.settled.clear();
  view.declined.clear();
  slice.outbox.delete(view.team);
}

/** Tells a home what the slice runs for its team. */
export function tellInventory(
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

/** How long no worker of the slice can have forgotten a task. */
function knownForMs(update: Update, slice: Slice): number {
  let since = -Infinity;
  for (const { upSince } of slice.workers.values()) {
    since = Math.max(since, upSince);
  }
  return Math.min(Math.max(update.now - since, 0), MAX_KNOWN_MS);
}

/** Names the slice and the home with their epochs. */
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
  const view = admitHome(update, slice, received);
  if (view !== undefined) {
    tellInventory(update, slice, view);
  }
}

export function receiveAsks(
  update: Update,
  slice: Slice,
  received: Received<AskRoom>,
): void {
  const view = admitHome(update, slice, received);
  if (view === undefined) {
    return;
  }
  raiseFloor(view, received.message.floor);
  for (const ask of received.message.asks) {
    receiveAsk(update, slice, { view, ask });
  }
}

interface ViewedAsk {
  readonly view: TeamView;
  readonly ask: Ask;
}

function receiveAsk(
  update: Update,
  slice: Slice,
  { view, ask }: ViewedAsk,
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

/** Gives an ask, hold or start that waits more time; false if no ask does. */
function extendAsk(update: Update, { view, ask }: ViewedAsk): boolean {
  const { seq } = ask;
  const expiresAt = update.now + ask.ttlMs;
  const queued = view.queue.get(seq);
  if (queued !== undefined) {
    view.queue.set({ ...queued, expiresAt });
  }
  const task = view.bySeq.get(seq);
  const isOpen = task?.phase === TaskPhase.Starting ||
    task?.phase === TaskPhase.Held;
  if (task !== undefined && isOpen) {
    task.startBy = expiresAt;
  }
  return queued !== undefined;
}

/** True when nothing more comes of the ask; its end is told until it is known. */
function isSettled(view: TeamView, seq: number): boolean {
  return seq < view.floor || view.settled.has(seq);
}

/** Answers an ask that was answered before; false when it is new. */
function repeatAnswer(slice: Slice, view: TeamView, seq: number): boolean {
  const declined = view.declined.get(seq);
  if (declined !== undefined) {
    answerAsk(slice, view, declined);
    return true;
  }
  const task = view.bySeq.get(seq);
  if (task === undefined) {
    return false;
  }
  if (task.phase === TaskPhase.Running) {
    tellStarted(slice, task);
  } else if (task.phase === TaskPhase.Held) {
    tellHeld(slice, view, task);
  }
  return true;
}

/** Tells the home that room is held. */
export function tellHeld(
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
  const view = admitHome(update, slice, received);
  if (view === undefined) {
    return;
  }
  for (const seq of received.message.seqs) {
    withdraw(update, slice, { view, seq });
  }
}

interface ViewedSeq {
  readonly view: TeamView;
  readonly seq: number;
}

/** An ask that never came is declined too, so that a late copy is refused. */
function withdraw(
  update: Update,
  slice: Slice,
  { view, seq }: ViewedSeq,
): void {
  const reason = DeclineReason.Withdrawn;
  const task = view.bySeq.get(seq);
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

/** The tasks that a commit starts; others are answered as before. */
export function receiveCommit(
  update: Update,
  slice: Slice,
  received: Received<CommitHolds>,
): SliceTask[] {
  const view = admitHome(update, slice, received);
  const committed: SliceTask[] = [];
  for (const seq of view === undefined ? [] : received.message.seqs) {
    const task = view?.bySeq.get(seq);
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
  if (admitHome(update, slice, received) === undefined) {
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

/** Has the worker told to stop the task. */
export function stopTask(task: SliceTask, mode: StopTasks["mode"]): void {
  if (task.stop !== mode && task.phase !== TaskPhase.Ended) {
    task.stop = mode;
    noteNews(task.worker);
  }
}
