/** Sync calls of a slice owner to its workers. */
import { createCommand, type Update } from "@mustardweir/kernel";
import { isOwnershipConfirmed } from "@mustardweir/membership";
import {
  count,
  EffectKind,
  type EffectReply,
  nodeEffect,
  replyTo,
  type SyncCall,
  type SyncResult,
  type TargetStart,
  TaskPhase,
} from "@mustardweir/protocol";
import { mayGrant } from "./grant.ts";
import type { Slice, SliceTask, Worker } from "./slice_state.ts";

/**
 * Time that a worker may wait for a change of state before it replies to a
 * poll, in milliseconds.
 */
const POLL_WAIT_MS = 2_000;

/** Timeout of a poll, in milliseconds. */
const POLL_TIMEOUT_MS = 3_500;

/** Timeout of a call with commands, in milliseconds; it is then repeated. */
const COMMAND_TIMEOUT_MS = 1_500;

/** Context of a call, returned with the reply. */
export interface SyncContext {
  readonly sliceId: string;
  readonly epoch: number;
  readonly instanceId: string;
  readonly isPoll: boolean;
  readonly sentAt: number;
  /** The call carried no start below this sequence; workers refuse those. */
  readonly floor: number;
  /** Ids of the tasks whose starts the call carried. */
  readonly starts: readonly string[];
  /** Ids of the tasks whose ends the call acknowledged. */
  readonly acks: readonly string[];
}

export const TARGET_SYNCED = createCommand<
  EffectReply<SyncContext, SyncResult>
>(
  "target-synced",
);

/** Sends pending commands to workers, and polls them for changes of state. */
export function callWorkers(
  update: Update,
  slice: Slice,
  workers: Iterable<Worker>,
): void {
  if (!isOwnershipConfirmed(update)) {
    return; // A superseded owner must not renew leases.
  }
  for (const worker of workers) {
    callWorker(update, slice, worker);
  }
}

function callWorker(update: Update, slice: Slice, worker: Worker): void {
  if (update.now < worker.retryAt) {
    return;
  }
  if (worker.hasPendingCommands && worker.commandSentAt === undefined) {
    worker.hasPendingCommands = false;
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
  const call = composeCall(update, slice, { worker, isPoll });
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
    timeoutMs: isPoll ? POLL_TIMEOUT_MS : COMMAND_TIMEOUT_MS,
    replyTo: replyTo(TARGET_SYNCED, context),
  }));
}

/**
 * Starts are left out while the slice may not start work, even if an earlier
 * call carried them: that call may have been lost.
 */
function composeCall(
  update: Update,
  slice: Slice,
  { worker, isPoll }: SyncOptions,
): SyncCall {
  const canStart = worker.leaseToken !== undefined && mayGrant(update, slice);
  const tasks = [...worker.tasks];
  const starting = tasks.filter(({ phase, revokeReason }) =>
    phase === TaskPhase.Starting && revokeReason === undefined
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
    starts: canStart
      ? starting.filter(({ startBy }) => update.now < startBy).map(toStart)
      : [],
    stops: tasks.flatMap(({ task, stop, phase }) =>
      stop !== undefined && phase !== TaskPhase.Ended
        ? [{ taskId: task.taskId, mode: stop }]
        : []
    ),
    throttles: [],
    acks: [...worker.acks],
    waitMs: isPoll ? POLL_WAIT_MS : 0,
  };
}

function toStart({ startSeq, task }: SliceTask): TargetStart {
  return { seq: startSeq, task };
}
