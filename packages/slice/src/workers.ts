import { createCommand, type Update } from "@mustardweir/kernel";
import {
  isOwnershipConfirmed,
  majorityHeardAt,
  OWNERSHIP_CONFIRMATION_MS,
  sliceUnit,
  UNIT_SUPERSEDED,
} from "@mustardweir/membership";
import {
  type Answered,
  count,
  DeclineReason,
  EffectKind,
  LEASE_MS,
  logChange,
  nodeEffect,
  replyTo,
  type RunningTask,
  StartRefusal,
  type SyncCall,
  type Synced,
  type SyncResult,
  SyncResultKind,
  TaskPhase,
} from "@mustardweir/protocol";
import {
  type Slice,
  type SliceTask,
  type Worker,
  WorkerState,
} from "./slice_state.ts";
import {
  addTask,
  cancelStart,
  confirmStart,
  finishTask,
  loseTask,
  removeTask,
  takeBackStart,
} from "./tasks.ts";

/** How long a worker may wait for news before it answers. */
const POLL_WAIT_MS = 1_000;

/** Time after which a call without an answer is given up. */
const CALL_TIMEOUT_MS = 2_500;

/** Time between calls to a worker that doesn't answer. */
const SILENT_RETRY_MS = 500;

/** A worker not heard from for this long gets no new work. */
const SILENT_AFTER_MS = 3_000;

/** Allowance for clocks that run at different rates, and for rounding. */
const LEASE_MARGIN_MS = 500;

export interface SyncContext {
  readonly sliceId: string;
  readonly epoch: number;
  readonly instanceId: string;
  readonly isPoll: boolean;
  readonly sentAt: number;
  /** Starts below this sequence were not carried and are refused. */
  readonly floor: number;
  /** Starts that the call carried. */
  readonly starts: readonly string[];
  readonly acks: readonly string[];
}

export const TARGET_SYNCED = createCommand<Answered<SyncContext, SyncResult>>(
  "target-synced",
);

/** Sends each worker what it has to be told, and asks for news. */
export function callWorkers(update: Update, slice: Slice): void {
  if (!isOwnershipConfirmed(update)) {
    return; // Leases must not be renewed by who may have been superseded.
  }
  for (const worker of slice.workers.values()) {
    callWorker(update, slice, worker);
  }
}

function callWorker(update: Update, slice: Slice, worker: Worker): void {
  if (update.now < worker.retryAt) {
    return;
  }
  if (worker.hasNews && worker.commandSentAt === undefined) {
    worker.hasNews = false;
    worker.commandSentAt = update.now;
    sync(update, slice, { worker, isPoll: false });
    return;
  }
  if (worker.pollSentAt === undefined) {
    worker.pollSentAt = update.now;
    sync(update, slice, { worker, isPoll: true });
  }
}

interface SyncOptions {
  readonly worker: Worker;
  readonly isPoll: boolean;
}

function sync(
  update: Update,
  slice: Slice,
  { worker, isPoll }: SyncOptions,
): void {
  const call = composeCall(slice, worker, isPoll ? POLL_WAIT_MS : 0);
  const context: SyncContext = {
    sliceId: slice.sliceId,
    epoch: slice.epoch,
    instanceId: worker.instanceId,
    isPoll,
    sentAt: update.now,
    floor: call.floor,
    starts: call.starts.map(({ task }) => task.taskId),
    acks: call.acks,
  };
  update.emit(count("target_calls"));
  update.emit(nodeEffect({
    kind: EffectKind.SyncTarget,
    instanceId: worker.instanceId,
    address: worker.address,
    call,
    timeoutMs: CALL_TIMEOUT_MS,
    replyTo: replyTo(TARGET_SYNCED, context),
  }));
}

function composeCall(
  slice: Slice,
  worker: Worker,
  waitMs: number,
): SyncCall {
  const tasks = [...worker.tasks];
  const starting = tasks.filter(({ phase, takenBack }) =>
    phase === TaskPhase.Starting && takenBack === undefined
  );
  return {
    sliceId: slice.sliceId,
    epoch: slice.epoch,
    ...(worker.leaseToken === undefined
      ? {}
      : { leaseToken: worker.leaseToken }),
    floor: starting.reduce(
      (floor, task) => Math.min(floor, task.startSeq),
      slice.nextStartSeq,
    ),
    starts: worker.leaseToken === undefined ? [] : starting.map((task) => ({
      seq: task.startSeq,
      task: task.task,
    })),
    stops: tasks.flatMap(({ task, stop, phase }) =>
      stop !== undefined && phase !== TaskPhase.Ended
        ? [{ taskId: task.taskId, mode: stop }]
        : []
    ),
    throttles: [],
    acks: [...worker.acks],
    waitMs,
  };
}

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
    refuseStarts(slice, answer);
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
  refuseStarts(slice, answer);
  settleTakenBack(update, slice, answer);
  context.acks.forEach((taskId) => worker.acks.delete(taskId));
}

function hear(update: Update, worker: Worker, synced: Synced): void {
  if (worker.state !== WorkerState.Reachable) {
    worker.state = WorkerState.Reachable;
    worker.hasNews = true;
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
  slice: Slice,
  { worker, synced }: Pick<SyncedAnswer, "worker" | "synced">,
): void {
  for (const { taskId, refusal } of synced.refused) {
    const task = slice.tasks.get(taskId);
    if (refusal === StartRefusal.NoLease) {
      worker.hasNews = true;
    } else if (task !== undefined) {
      takeBackStart(task, DeclineReason.Refused);
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
      task.worker.hasNews = true;
    }
  }
}

/** Follows who is silent and whose leases are over. */
export function checkWorkers(update: Update, slice: Slice): void {
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

/** True when every lease that the worker may hold is over. */
function hasLapsed(update: Update, slice: Slice, worker: Worker): boolean {
  switch (worker.state) {
    case WorkerState.Silent:
      return update.now > worker.tokenAt + LEASE_MS + LEASE_MARGIN_MS;
    case WorkerState.Unknown: {
      // An earlier owner that was cut off renews until it can't confirm its
      // ownership; it then hears a majority or none, see confirmByMajority.
      const lastRenewal = slice.acquiredAt + OWNERSHIP_CONFIRMATION_MS;
      return update.now > lastRenewal + LEASE_MS + LEASE_MARGIN_MS &&
        majorityHeardAt(update) > slice.acquiredAt;
    }
    default:
      return false;
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
