import type { Update } from "@mustardweir/kernel";
import { PREEMPTION_POLICY } from "@mustardweir/fairness";
import {
  addResources,
  fitsWithin,
  JobKind,
  type Resources,
} from "@mustardweir/model";
import { AskMode, count, TaskPhase } from "@mustardweir/protocol";
import type { QueuedAsk } from "./ask_queue.ts";
import { claimRoom, hasClaim } from "./claims.ts";
import { openTotal, usageOf } from "./demand.ts";
import { mayGrant } from "./grant.ts";
import { findHolder, waitsForHolder } from "./holder.ts";
import type { Slice, TeamView, Worker } from "./slice_state.ts";
import { duesByTeam } from "./standings.ts";

/** A gang's ask waits this long for room to come by itself. */
const PATIENCE_MS = 1_500;

/** Longest time that an instance is kept until its tasks end. */
const RESERVATION_MS = 30_000;

/** One in this many instances of a slice may be kept for gangs. */
const INSTANCES_PER_CLAIM = 4;

/** Taken for the run time of a task that declares none, in milliseconds. */
const UNKNOWN_RUN_MS = 60 * 60 * 1_000;

/**
 * Keeps instances for members of gangs that small tasks would take the room
 * of, piece by piece: what ends there makes room for the member.
 */
export function reserveRoom(update: Update, slice: Slice): void {
  const holder = findHolder(slice);
  const limit = Math.max(
    1,
    Math.floor(slice.workers.size / INSTANCES_PER_CLAIM),
  );
  for (const view of slice.teams.values()) {
    for (const queued of view.queue.values()) {
      if (slice.claims.size >= limit) {
        return;
      }
      const isDue = queued.ask.mode === AskMode.Hold &&
        update.now - queued.receivedAt >= PATIENCE_MS &&
        !waitsForHolder(queued, holder);
      if (isDue && mayReserve(update, slice, { view, queued })) {
        reserve(update, slice, { view, queued });
      }
    }
  }
}

interface ViewedAsk {
  readonly view: TeamView;
  readonly queued: QueuedAsk;
}

/** Teams above their entitlement keep nothing from teams that wait. */
function mayReserve(
  update: Update,
  slice: Slice,
  { view, queued }: ViewedAsk,
): boolean {
  const { ask: { seq, task: { size } } } = queued;
  if (hasClaim(slice, view, seq) || !mayGrant(update, slice)) {
    return false;
  }
  const { team } = view;
  const isAlone = [...slice.teams.values()].every((other) =>
    other === view || other.queue.size === 0
  );
  const due = duesByTeam(update).get(team) ?? 0;
  const standings = new Map([
    [team, { team, due, used: usageOf(update, team) }],
  ]);
  const policy = update.service(PREEMPTION_POLICY);
  const total = openTotal(update);
  return isAlone || policy.mayPreempt({ team, size, standings, total });
}

function reserve(
  update: Update,
  slice: Slice,
  { view, queued }: ViewedAsk,
): void {
  let best: Worker | undefined;
  let bestMs = Infinity;
  for (const worker of slice.workers.values()) {
    const freeInMs = timeUntilFree(update, slice, {
      worker,
      size: queued.ask.task.size,
    });
    if (freeInMs < bestMs) {
      best = worker;
      bestMs = freeInMs;
    }
  }
  if (best !== undefined) {
    const { instanceId } = best;
    const forMs = RESERVATION_MS;
    const { now } = update;
    claimRoom(slice, { instanceId, view, queued, victims: [], now, forMs });
    update.emit(count("instances_reserved"));
  }
}

interface Fit {
  readonly worker: Worker;
  readonly size: Resources;
}

/** When what ends by itself has left enough room; Infinity for never. */
function timeUntilFree(
  { now }: Update,
  { table }: Slice,
  { worker, size }: Fit,
): number {
  if (!table.isEligible(worker.index)) {
    return Infinity;
  }
  let room = table.freeAt(worker.index);
  let freeInMs = 0;
  for (const { task, runningSince, phase } of worker.tasks) {
    if (task.kind !== JobKind.Service && phase === TaskPhase.Running) {
      const runMs = task.durationMs ?? UNKNOWN_RUN_MS;
      room = addResources(room, task.size);
      freeInMs = Math.max(freeInMs, runMs - (now - runningSince));
    }
  }
  return fitsWithin(size, room) ? freeInMs : Infinity;
}
