import type { Update } from "@mustardweir/kernel";
import {
  majorityInformedAt,
  OWNED,
  OWNERSHIP_CONFIRMATION_MS,
  sliceUnit,
  UNIT_SUPERSEDED,
} from "@mustardweir/membership";
import {
  count,
  DeclineReason,
  type EffectReply,
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
  markCommandsPending,
  type Slice,
  type SliceTask,
  type Worker,
  WorkerReachability,
} from "./slice_state.ts";
import type { SyncContext } from "./target_calls.ts";
import {
  addTask,
  cancelStart,
  confirmStart,
  finishTask,
  loseTask,
  removeTask,
  revokeStart,
} from "./tasks.ts";

/** Time before a worker that did not reply is called again, in milliseconds. */
const UNANSWERED_RETRY_MS = 500;

/** A worker that has not replied for this long gets no new work. */
const SILENCE_TIMEOUT_MS = 4_500;

/** Time without new work after a start refused for lack of capacity. */
const NO_CAPACITY_PAUSE_MS = 5_000;

/** Margin for clocks that run at different rates, and for rounding. */
const LEASE_MARGIN_MS = 500;

/** Applies the result of a call to a worker: a reply, a fence, or no reply. */
export function applySync(
  update: Update,
  slice: Slice,
  { context, result }: EffectReply<SyncContext, SyncResult>,
): void {
  const worker = slice.workers.get(context.instanceId);
  if (worker === undefined) {
    return;
  }
  clearCallInFlight(worker, context);
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
      worker.hasPendingCommands ||= context.starts.length > 0;
      worker.retryAt = update.now + UNANSWERED_RETRY_MS;
      update.emit(count("target_calls_unanswered"));
      break;
  }
}

function clearCallInFlight(
  worker: Worker,
  { isPoll, sentAt }: SyncContext,
): void {
  worker.dirtyWorkers.add(worker);
  if (isPoll && worker.pollSentAt === sentAt) {
    worker.pollSentAt = undefined;
  }
  if (!isPoll && worker.commandSentAt === sentAt) {
    worker.commandSentAt = undefined;
  }
}

interface SyncedReply {
  readonly worker: Worker;
  readonly context: SyncContext;
  readonly synced: Synced;
}

function applySynced(
  update: Update,
  slice: Slice,
  reply: SyncedReply,
): void {
  const { worker, context, synced } = reply;
  const isSame = worker.incarnation === synced.incarnation;
  if (isSame && synced.stateSeq < worker.stateSeq) {
    applyRefusals(update, slice, reply);
    return;
  }
  if (!isSame && worker.incarnation !== "") {
    update.emit(logChange("Instance restarted", {
      instance: worker.instanceId,
    }));
    [...worker.tasks].forEach((task) => loseTask(update, slice, task));
  }
  recordReply(update, worker, synced);
  adoptRunning(update, slice, reply);
  adoptEnded(update, slice, reply);
  applyRefusals(update, slice, reply);
  declineRevokedStarts(update, slice, reply);
  context.acks.forEach((taskId) => worker.acks.delete(taskId));
}

function recordReply(update: Update, worker: Worker, synced: Synced): void {
  if (worker.state !== WorkerReachability.Reachable) {
    worker.state = WorkerReachability.Reachable;
    markCommandsPending(worker);
  }
  if (worker.incarnation !== synced.incarnation) {
    worker.incarnation = synced.incarnation;
    worker.upSince = update.now - synced.uptimeMs;
  }
  worker.stateSeq = synced.stateSeq;
  worker.leaseToken = synced.leaseToken;
  worker.leaseTokenAt = update.now;
  worker.lastReplyAt = update.now;
}

function adoptRunning(
  update: Update,
  slice: Slice,
  { worker, synced }: SyncedReply,
): void {
  const running = new Set<string>();
  for (const report of synced.running) {
    running.add(report.task.taskId);
    adoptReport(update, slice, { worker, report });
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

function adoptReport(
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
  { worker, synced }: SyncedReply,
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
 * Revokes the starts that the worker refused. A start refused for lack of a
 * valid lease is sent again instead, with the token of this reply.
 */
function applyRefusals(
  update: Update,
  slice: Slice,
  { worker, synced }: Pick<SyncedReply, "worker" | "synced">,
): void {
  for (const { taskId, refusal } of synced.refused) {
    const task = slice.tasks.get(taskId);
    if (refusal === StartRefusal.NoLease) {
      markCommandsPending(worker);
    } else if (task !== undefined) {
      revokeStart(task, DeclineReason.Refused);
    }
    if (refusal === StartRefusal.NoCapacity) {
      worker.noCapacityUntil = update.now + NO_CAPACITY_PAUSE_MS;
    }
  }
}

/** Declines the revoked starts that can't reach the worker any more. */
function declineRevokedStarts(
  update: Update,
  slice: Slice,
  { worker, context }: SyncedReply,
): void {
  for (const task of [...worker.tasks]) {
    const { phase, revokeReason, startSeq } = task;
    const isOver = phase === TaskPhase.Starting && startSeq < context.floor;
    if (revokeReason !== undefined && isOver) {
      cancelStart(update, slice, { task, reason: revokeReason });
    }
  }
}

/** Removes ends that the home has recorded, and lets workers drop them. */
export function acknowledgeEnds(
  slice: Slice,
  taskIds: readonly string[],
): void {
  for (const taskId of taskIds) {
    const task = slice.tasks.get(taskId);
    if (task !== undefined && task.phase === TaskPhase.Ended) {
      removeTask(slice, task);
      task.worker.acks.add(taskId);
      markCommandsPending(task.worker);
    }
  }
}

/** Updates which workers are silent and whose leases have expired. */
export function checkWorkers(update: Update, slice: Slice): void {
  if (majorityInformedAt(update) > slice.acquiredAt) {
    slice.majorityInformedSince = Math.min(
      slice.majorityInformedSince,
      update.now,
    );
  }
  for (const worker of slice.workers.values()) {
    const isLate = update.now - worker.lastReplyAt > SILENCE_TIMEOUT_MS;
    if (worker.state === WorkerReachability.Reachable && isLate) {
      worker.state = WorkerReachability.Silent;
      update.emit(logChange("Instance silent", {
        instance: worker.instanceId,
      }));
    }
    if (haveLeasesExpired(update, slice, worker)) {
      expireLeases(update, slice, worker);
    }
  }
}

/**
 * Whether every lease that the worker may hold has expired. An owner that was
 * paused or partitioned must first confirm that it still owned the slice after
 * that time: a new owner would have renewed the leases.
 */
function haveLeasesExpired(
  update: Update,
  slice: Slice,
  worker: Worker,
): boolean {
  const expiresAt = leaseExpiryTime(slice, worker);
  return update.now > expiresAt && update.read(OWNED).confirmedAt > expiresAt;
}

/**
 * The time at which the leases given by this owner or an earlier one expire;
 * Infinity while the worker replies.
 */
function leaseExpiryTime(slice: Slice, worker: Worker): number {
  const lastingMs = LEASE_MS + LEASE_MARGIN_MS;
  switch (worker.state) {
    case WorkerReachability.Silent:
      return worker.leaseTokenAt + lastingMs;
    case WorkerReachability.Unknown:
      // A partitioned earlier owner renews leases until it can't confirm its
      // ownership: a majority informed about this owner refuses to confirm.
      return slice.majorityInformedSince + OWNERSHIP_CONFIRMATION_MS +
        lastingMs;
    default:
      return Infinity;
  }
}

function expireLeases(update: Update, slice: Slice, worker: Worker): void {
  worker.state = WorkerReachability.Lapsed;
  worker.upSince = Infinity; // It may have restarted.
  worker.leaseToken = undefined;
  update.emit(logChange("Instance leases lapsed", {
    instance: worker.instanceId,
    tasks: worker.tasks.size,
  }));
  for (const task of [...worker.tasks]) {
    dropExpiredTask(update, slice, task);
  }
}

/** Ends a task whose worker's leases have expired; cancels a hold. */
function dropExpiredTask(update: Update, slice: Slice, task: SliceTask): void {
  if (task.phase === TaskPhase.Held) {
    const reason = DeclineReason.NoRoom;
    cancelStart(update, slice, { task, reason });
  } else {
    loseTask(update, slice, task);
  }
}

/**
 * Whether a worker's leases can't be taken as expired until a majority of the
 * schedulers is informed about this owner.
 */
export function awaitsMajority(slice: Slice): boolean {
  return [...slice.workers.values()].some(({ state }) =>
    state === WorkerReachability.Unknown
  ) && slice.majorityInformedSince === Infinity;
}
