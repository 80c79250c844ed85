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

/** How long an ask waits in a slice for room, in milliseconds. */
export const ASK_TTL_MS = 4_000;

/** How long a slice holds room for a gang, in milliseconds. */
export const HOLD_TTL_MS = 3_000;

/** The same while the gang's holds add up. */
export const ACCUMULATION_TTL_MS = 60_000;

/**
 * An ask holds for this long after the configuration, with its ceiling, was
 * confirmed, in milliseconds; asks are sent again with more time. With the
 * delay of a message it stays below the 4 s within which a change is in force.
 */
const ASK_VALID_MS = 2_500;

/** The task as slices and workers know it. */
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

/** Sends the asks of tasks of one slice; sending again is harmless. */
export function sendAsks(
  update: Update,
  home: Home,
  { sliceId, tasks }: SliceMessageOptions,
): void {
  sendToSlice(update, home, { sliceId, tasks }, (address, current) => ({
    ...address,
    kind: PeerMessageKind.AskRoom,
    floor: lowestSeq(home),
    asks: current.map((task) => toAsk(update, home, task)),
  }));
  for (const task of tasks) {
    task.sentAt = update.now;
  }
}

/** Asks a slice to take asks or holds back. */
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

/** Asks a slice to start the tasks that it holds room for. */
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

/** Asks a slice to stop tasks. */
export function sendStops(
  update: Update,
  home: Home,
  options: SliceMessageOptions & { readonly mode: StopMode },
): void {
  for (const task of options.tasks) {
    task.stopping = true;
    task.sentAt = update.now;
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
 * Sends a message about those tasks that were asked of the slice's present
 * epoch. What an earlier epoch was asked is settled by the inventory of the
 * new one: it can't tell whether the old owner has started a task.
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
  const endsAt = task.askedAt + waitLimit(task);
  const { confirmedAt } = update.read(CONFIGURATION);
  const validUntil = Math.min(endsAt, confirmedAt + ASK_VALID_MS);
  return {
    seq: task.seq,
    mode: isGang ? AskMode.Hold : AskMode.Start,
    task: toTaskSpec(home, task),
    ttlMs: Math.max(1, validUntil - update.now),
  };
}

function waitLimit({ job }: HomeTask): number {
  if (job.spec.kind !== JobKind.Gang) {
    return ASK_TTL_MS;
  }
  return job.accumulates ? ACCUMULATION_TTL_MS : HOLD_TTL_MS;
}

/** Everything below has been answered; the slice may forget it. */
function lowestSeq(home: Home): number {
  const [lowest] = home.bySeq.keys(); // Sequences are added in growing order.
  return lowest ?? home.nextSeq;
}

/** Groups tasks by the slice they were asked of. */
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
