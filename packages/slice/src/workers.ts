import type { Update } from "@mustardweir/kernel";
import {
  majorityToldAt,
  OWNED,
  OWNERSHIP_CONFIRMATION_MS,
  sliceUnit,
  UNIT_SUPERSEDED,
} from "@mustardweir/membership";
import {
  type Answered,
  count,
  DeclineReason,
  LEASE_MS,
  logChange,
  type RunningTask,
  StartRefusal,
  type Synced,
  type SyncResult,
  SyncResultKind,
  TaskPhase,
} from "@mustardweir/protocol";
import {
  noteNews,
  type Slice,
  type SliceTask,
  type Worker,
  WorkerState,
} from "./slice_state.ts";
import type { SyncContext } from "./target_calls.ts";
import {
  addTask,
  cancelStart,
  confirmStart,
  finishTask,
  loseTask,
  removeTask,
  takeBackStart,
} from "./tasks.ts";

/** Time between calls to a worker that doesn't answer. */
const SILENT_RETRY_MS = 500;

/** A worker not heard from for this long gets no new work. */
const SILENT_AFTER_MS = 4_500;

/** A worker that refused a start for want of room gets none for this long. */
const FULL_PAUSE_MS = 5_000;

/** Allowance for clocks that run at different rates, and for rounding. */
const LEASE_MARGIN_MS = 500;

/** Takes in a worker's answer, or that none came. */
export function applySync(
  update: Update,
  slice: Slice,
  { context, result }: Answered<SyncContext, SyncResult>,
): void {
  const worker = slice.workers.get(context.instanceId);
  if (worker === undefined) {
    return;
  }
  settleCall(worker, context);
  switch (result.kind) {
    case SyncResultKind.Synced:
      applySynced(update, slice, { worker, context, synced: result });
      break;
    case SyncResultKind.Fenced:
      update.dispatch(UNIT_SUPERSEDED, {
        unit: sliceUnit(slice.sliceId),
        epoch: result.epoch,
      });
      break;
    case SyncResultKind.NoAnswer:
      worker.hasNews ||= context.starts.length > 0;
      worker.retryAt = update.now + SILENT_RETRY_MS;
      update.emit(count("target_calls_unanswered"));
      break;
  }
}

function settleCall(worker: Worker, { isPoll, sentAt }: SyncContext): void {
  worker.touched.add(worker);
  if (isPoll && worker.pollSentAt === sentAt) {
    worker.pollSentAt = undefined;
  }
  if (!isPoll && worker.commandSentAt === sentAt) {
    worker.commandSentAt = undefined;
  }
}

interface SyncedAnswer {
  readonly worker: Worker;
  readonly context: SyncContext;
  readonly synced: Synced;
}

function applySynced(
  update: Update,
  slice: Slice,
  answer: SyncedAnswer,
): void {
  const { worker, context, synced } = answer;
  const isSame = worker.incarnation === synced.incarnation;
  if (isSame && synced.stateSeq < worker.stateSeq) {
    refuseStarts(update, slice, answer);
    return;
  }
  if (!isSame && worker.incarnation !== "") {
    update.emit(logChange("Instance restarted", {
      instance: worker.instanceId,
    }));
    [...worker.tasks].forEach((task) => loseTask(update, slice, task));
  }
  hear(update, worker, synced);
  adoptRunning(update, slice, answer);
  adoptEnded(update, slice, answer);
  refuseStarts(update, slice, answer);
  settleTakenBack(update, slice, answer);
  context.acks.forEach((taskId) => worker.acks.delete(taskId));
}

function hear(update: Update, worker: Worker, synced: Synced): void {
  if (worker.state !== WorkerState.Reachable) {
    worker.state = WorkerState.Reachable;
    noteNews(worker);
  }
  if (worker.incarnation !== synced.incarnation) {
    worker.incarnation = synced.incarnation;
    worker.upSince = update.now - synced.uptimeMs;
  }
  worker.stateSeq = synced.stateSeq;
  worker.leaseToken = synced.leaseToken;
  worker.tokenAt = update.now;
  worker.heardAt = update.now;
}

function adoptRunning(
  update: Update,
  slice: Slice,
  { worker, synced }: SyncedAnswer,
): void {
  const running = new Set<string>();
  for (const report of synced.running) {
    running.add(report.task.taskId);
    adoptOne(update, slice, { worker, report });
  }
  const ended = new Set(synced.ended.map(({ task }) => task.taskId));
  for (const task of [...worker.tasks]) {
    const isGone = task.phase === TaskPhase.Running &&
      !running.has(task.task.taskId) && !ended.has(task.task.taskId);
    if (isGone) {
      loseTask(update, slice, task);
    }
  }
}

interface RunningReport {
  readonly worker: Worker;
  readonly report: RunningTask;
}

function adoptOne(
  update: Update,
  slice: Slice,
  { worker, report }: RunningReport,
): void {
  const known = slice.tasks.get(report.task.taskId);
  if (known === undefined) {
    const { task } = report;
    const phase = TaskPhase.Running;
    const added = addTask(slice, { task, worker, phase, isAdopted: true });
    added.runningSince = update.now;
    return;
  }
  confirmStart(update, slice, known);
}

function adoptEnded(
  update: Update,
  slice: Slice,
  { worker, synced }: SyncedAnswer,
): void {
  for (const { task, end } of synced.ended) {
    if (worker.acks.has(task.taskId)) {
      continue;
    }
    const known = slice.tasks.get(task.taskId);
    if (known === undefined) {
      const added = addTask(slice, { task, worker, phase: TaskPhase.Ended });
      added.end = end;
    } else {
      confirmStart(update, slice, known);
      finishTask(update, slice, { task: known, end });
    }
  }
}

/**
 * Starts that the worker refused are taken back; one without a valid lease is
 * sent again with the token of this answer.
 */
function refuseStarts(
  update: Update,
  slice: Slice,
  { worker, synced }: Pick<SyncedAnswer, "worker" | "synced">,
): void {
  for (const { taskId, refusal } of synced.refused) {
    const task = slice.tasks.get(taskId);
    if (refusal === StartRefusal.NoLease) {
      noteNews(worker);
    } else if (task !== undefined) {
      takeBackStart(task, DeclineReason.Refused);
    }
    if (refusal === StartRefusal.NoCapacity) {
      worker.fullUntil = update.now + FULL_PAUSE_MS;
    }
  }
}

/** Declines the starts taken back that the worker will not carry out. */
function settleTakenBack(
  update: Update,
  slice: Slice,
  { worker, context }: SyncedAnswer,
): void {
  for (const task of [...worker.tasks]) {
    const { phase, takenBack, startSeq } = task;
    const isOver = phase === TaskPhase.Starting && startSeq < context.floor;
    if (takenBack !== undefined && isOver) {
      cancelStart(update, slice, { task, reason: takenBack });
    }
  }
}

/** The home has the ends on record: the worker may forget them. */
export function acknowledgeEnds(
  slice: Slice,
  taskIds: readonly string[],
): void {
  for (const taskId of taskIds) {
    const task = slice.tasks.get(taskId);
    if (task !== undefined && task.phase === TaskPhase.Ended) {
      removeTask(slice, task);
      task.worker.acks.add(taskId);
      noteNews(task.worker);
    }
  }
}

/** Follows who is silent and whose leases are over. */
export function checkWorkers(update: Update, slice: Slice): void {
  if (majorityToldAt(update) > slice.acquiredAt) {
    slice.claimKnownAt = Math.min(slice.claimKnownAt, update.now);
  }
  for (const worker of slice.workers.values()) {
    const isLate = update.now - worker.heardAt > SILENT_AFTER_MS;
    if (worker.state === WorkerState.Reachable && isLate) {
      worker.state = WorkerState.Silent;
      update.emit(logChange("Instance silent", {
        instance: worker.instanceId,
      }));
    }
    if (hasLapsed(update, slice, worker)) {
      lapse(update, slice, worker);
    }
  }
}

/**
 * True when every lease that the worker may hold is over. An owner that was
 * paused or cut off must first learn that nobody has taken the slice over
 * before they were: a new owner renews them.
 */
function hasLapsed(update: Update, slice: Slice, worker: Worker): boolean {
  const overAt = leasesOverAt(slice, worker);
  return update.now > overAt && update.read(OWNED).confirmedAt > overAt;
}

/** When the leases that this owner, or one before it, gave are over. */
function leasesOverAt(slice: Slice, worker: Worker): number {
  const lastingMs = LEASE_MS + LEASE_MARGIN_MS;
  switch (worker.state) {
    case WorkerState.Silent:
      return worker.tokenAt + lastingMs;
    case WorkerState.Unknown:
      // An earlier owner that was cut off renews until it can't confirm its
      // ownership, which a majority that knows of this owner does not do.
      return slice.claimKnownAt + OWNERSHIP_CONFIRMATION_MS + lastingMs;
    default:
      return Infinity;
  }
}

function lapse(update: Update, slice: Slice, worker: Worker): void {
  worker.state = WorkerState.Lapsed;
  worker.upSince = Infinity; // It may have restarted since.
  worker.leaseToken = undefined;
  update.emit(logChange("Instance leases lapsed", {
    instance: worker.instanceId,
    tasks: worker.tasks.size,
  }));
  for (const task of [...worker.tasks]) {
    loseLapsed(update, slice, task);
  }
}

function loseLapsed(update: Update, slice: Slice, task: SliceTask): void {
  if (task.phase === TaskPhase.Held) {
    const reason = DeclineReason.NoRoom;
    cancelStart(update, slice, { task, reason });
  } else {
    loseTask(update, slice, task);
  }
}

/** True while the lapse of some worker's leases waits for a majority. */
export function awaitsMajority(slice: Slice): boolean {
  return [...slice.workers.values()].some(({ state }) =>
    state === WorkerState.Unknown
  ) && slice.claimKnownAt === Infinity;
}
