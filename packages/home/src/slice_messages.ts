import { CONFIGURATION } from "@mustardweir/configuration";
import type { Update } from "@mustardweir/kernel";
import { resolveOwner, sliceUnit } from "@mustardweir/membership";
import {
  type Ask,
  AskMode,
  PeerMessageKind,
  sendPeer,
  type StopMode,
  type TaskSpec,
} from "@mustardweir/protocol";
import type { Home, HomeTask } from "./home_state.ts";
import { JobKind } from "@mustardweir/model";

/**
 * How long an ask, a request for room for one task, may wait in a slice, in
 * milliseconds.
 */
export const ASK_TTL_MS = 4_000;

/** How long a slice holds room for a gang, in milliseconds. */
export const HOLD_TTL_MS = 3_000;

/**
 * How long a slice holds room for a gang that accumulates holds, in
 * milliseconds.
 */
export const ACCUMULATION_TTL_MS = 60_000;

/**
 * How long an ask is valid after the configuration, which sets the ceiling, was
 * last confirmed, in milliseconds; an ask that is sent again gets more time.
 * Together with the delay of a message, this stays below the 4 s within which a
 * change of configuration takes effect.
 */
const ASK_VALID_MS = 2_500;

/** Returns the task as it is sent to slices and workers. */
export function toTaskSpec(home: Home, task: HomeTask): TaskSpec {
  const { job } = task;
  const { spec } = job;
  return {
    taskId: task.taskId,
    jobId: job.jobId,
    team: home.team,
    homeEpoch: home.epoch,
    askSeq: task.seq,
    kind: spec.kind,
    priority: spec.priority,
    idempotent: spec.idempotent,
    size: job.size,
    ...(spec.durationMs === undefined ? {} : { durationMs: spec.durationMs }),
    payload: spec.payload,
    ...(task.checkpoint === undefined ? {} : { checkpoint: task.checkpoint }),
  };
}

export interface SliceMessageOptions {
  readonly sliceId: string;
  readonly tasks: readonly HomeTask[];
}

/** Sends a slice the asks of the tasks; they may be sent repeatedly. */
export function sendAsks(
  update: Update,
  home: Home,
  { sliceId, tasks }: SliceMessageOptions,
): void {
  sendToSlice(update, home, { sliceId, tasks }, (address, current) => ({
    ...address,
    kind: PeerMessageKind.AskRoom,
    floor: lowestOpenSeq(home),
    asks: current.map((task) => toAsk(update, home, task)),
  }));
  for (const task of tasks) {
    task.lastSentAt = update.now;
  }
}

/** Requests that a slice withdraw asks and release holds. */
export function sendWithdrawal(
  update: Update,
  home: Home,
  { sliceId, tasks }: SliceMessageOptions,
): void {
  for (const task of tasks) {
    task.withdrawn = true;
  }
  sendToSlice(update, home, { sliceId, tasks }, (address, current) => ({
    ...address,
    kind: PeerMessageKind.WithdrawAsks,
    seqs: current.map((task) => task.seq),
  }));
}

/** Requests that a slice start the tasks that it holds room for. */
export function sendCommit(
  update: Update,
  home: Home,
  { sliceId, tasks }: SliceMessageOptions,
): void {
  sendToSlice(update, home, { sliceId, tasks }, (address, current) => ({
    ...address,
    kind: PeerMessageKind.CommitHolds,
    seqs: current.map((task) => task.seq),
  }));
}

/** Requests that a slice stop tasks. */
export function sendStops(
  update: Update,
  home: Home,
  options: SliceMessageOptions & { readonly mode: StopMode },
): void {
  for (const task of options.tasks) {
    task.stopping = true;
    task.lastSentAt = update.now;
    home.stopping.add(task);
  }
  sendToSlice(update, home, options, (address, current) => ({
    ...address,
    kind: PeerMessageKind.StopTasks,
    taskIds: current.map((task) => task.taskId),
    mode: options.mode,
  }));
}

interface Address {
  readonly team: string;
  readonly homeEpoch: number;
  readonly sliceId: string;
  readonly sliceEpoch: number;
}

type PeerMessageOf = Parameters<typeof sendPeer>[1];

/**
 * Sends a message about those tasks for which the slice's current epoch was
 * asked. Tasks asked of an earlier epoch are resolved by the inventory of the
 * new one, since the new owner can't know whether the old one has started a
 * task.
 */
function sendToSlice(
  update: Update,
  home: Home,
  { sliceId, tasks }: SliceMessageOptions,
  compose: (address: Address, current: readonly HomeTask[]) => PeerMessageOf,
): void {
  const owner = resolveOwner(update, sliceUnit(sliceId));
  if (owner === undefined) {
    return;
  }
  const sliceEpoch = owner.epoch;
  const current = tasks.filter((task) => task.sliceEpoch === sliceEpoch);
  if (current.length === 0) {
    return;
  }
  const { team, epoch: homeEpoch } = home;
  const address = { team, homeEpoch, sliceId, sliceEpoch };
  update.emit(sendPeer(owner.nodeId, compose(address, current)));
}

function toAsk(update: Update, home: Home, task: HomeTask): Ask {
  const isGang = task.job.spec.kind === JobKind.Gang;
  const endsAt = task.askedAt + ttlOf(task);
  const { confirmedAt } = update.read(CONFIGURATION);
  const validUntil = Math.min(endsAt, confirmedAt + ASK_VALID_MS);
  return {
    seq: task.seq,
    mode: isGang ? AskMode.Hold : AskMode.Start,
    task: toTaskSpec(home, task),
    ttlMs: Math.max(1, validUntil - update.now),
  };
}

function ttlOf({ job }: HomeTask): number {
  if (job.spec.kind !== JobKind.Gang) {
    return ASK_TTL_MS;
  }
  return job.accumulatesHolds ? ACCUMULATION_TTL_MS : HOLD_TTL_MS;
}

/**
 * Returns the lowest sequence number of an open ask; the slice may drop its
 * records of lower ones.
 */
function lowestOpenSeq(home: Home): number {
  const [lowest] = home.bySeq.keys(); // Added in ascending order.
  return lowest ?? home.nextSeq;
}

/** Groups tasks by the slice that was asked for their room. */
export function groupBySlice(
  tasks: Iterable<HomeTask>,
): Map<string, HomeTask[]> {
  const groups = new Map<string, HomeTask[]>();
  for (const task of tasks) {
    const group = groups.get(task.sliceId);
    if (group === undefined) {
      groups.set(task.sliceId, [task]);
    } else {
      group.push(task);
    }
  }
  return groups;
}
