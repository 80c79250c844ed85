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
import { hasReservation, reserveInstance } from "./reservations.ts";
import { openTotal, usageOf } from "./demand.ts";
import { mayGrant } from "./grant.ts";
import { findHoldingGang, waitsForGang } from "./holding_gang.ts";
import type { Slice, TeamView, Worker } from "./slice_state.ts";
import { entitledShareByTeam } from "./entitled_shares.ts";

/**
 * Time that a gang's ask, a request for room for one member, waits before an
 * instance is reserved for it, in milliseconds.
 */
const GANG_WAIT_MS = 1_500;

/** Time after which a gang's reservation expires, in milliseconds. */
const GANG_RESERVATION_MS = 30_000;

/** At most one in this many instances of a slice is reserved. */
const INSTANCES_PER_RESERVATION = 4;

/** Run time assumed of a task that declares none, in milliseconds. */
const DEFAULT_RUN_MS = 60 * 60 * 1_000;

/**
 * Reserves instances for members of gangs. Otherwise small tasks would take the
 * freed room piece by piece, and a large member would never find enough.
 */
export function reserveForGangs(update: Update, slice: Slice): void {
  const holdingGang = findHoldingGang(slice);
  const limit = Math.max(
    1,
    Math.floor(slice.workers.size / INSTANCES_PER_RESERVATION),
  );
  for (const view of slice.teams.values()) {
    for (const queued of view.queue.values()) {
      if (slice.reservations.size >= limit) {
        return;
      }
      const isDue = queued.ask.mode === AskMode.Hold &&
        update.now - queued.receivedAt >= GANG_WAIT_MS &&
        !waitsForGang(queued, holdingGang);
      if (isDue && mayReserve(update, slice, { view, queued })) {
        reserveForAsk(update, slice, { view, queued });
      }
    }
  }
}

interface TeamAsk {
  readonly view: TeamView;
  readonly queued: QueuedAsk;
}

/**
 * Whether an instance may be reserved for the ask. A team above its
 * entitlement may reserve only while no other team waits.
 */
function mayReserve(
  update: Update,
  slice: Slice,
  { view, queued }: TeamAsk,
): boolean {
  const { ask: { seq, task: { size } } } = queued;
  if (hasReservation(slice, view, seq) || !mayGrant(update, slice)) {
    return false;
  }
  const { team } = view;
  const isAlone = [...slice.teams.values()].every((other) =>
    other === view || other.queue.size === 0
  );
  const entitledShare = entitledShareByTeam(update).get(team) ?? 0;
  const allocations = new Map([
    [team, { team, entitledShare, used: usageOf(update, team) }],
  ]);
  const policy = update.service(PREEMPTION_POLICY);
  const total = openTotal(update);
  return isAlone || policy.mayPreempt({ team, size, allocations, total });
}

function reserveForAsk(
  update: Update,
  slice: Slice,
  { view, queued }: TeamAsk,
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
    const maxMs = GANG_RESERVATION_MS;
    const { now } = update;
    reserveInstance(slice, {
      instanceId,
      view,
      queued,
      victims: [],
      now,
      maxMs,
    });
    update.emit(count("instances_reserved"));
  }
}

interface Fit {
  readonly worker: Worker;
  readonly size: Resources;
}

/**
 * Time until enough room is free for `size` as tasks end by themselves, in
 * milliseconds; Infinity if that never happens.
 */
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
      const runMs = task.durationMs ?? DEFAULT_RUN_MS;
      room = addResources(room, task.size);
      freeInMs = Math.max(freeInMs, runMs - (now - runningSince));
    }
  }
  return fitsWithin(size, room) ? freeInMs : Infinity;
}
