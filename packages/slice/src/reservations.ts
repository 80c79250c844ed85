import { fitsWithin } from "@mustardweir/model";
import type { QueuedAsk } from "./ask_queue.ts";
import type { Reservation, Slice, TeamView } from "./slice_state.ts";

/** Default time after which a reservation expires, in milliseconds. */
const DEFAULT_RESERVATION_MS = 3_000;

export interface ReservationOptions {
  readonly instanceId: string;
  readonly view: TeamView;
  readonly queued: QueuedAsk;
  readonly victims: Reservation["victims"];
  readonly now: number;
  /** Time after which the reservation expires, in milliseconds; 3 s by default. */
  readonly maxMs?: number;
}

/** Reserves an instance for an ask until enough room is free there. */
export function reserveInstance(
  slice: Slice,
  options: ReservationOptions,
): void {
  const { instanceId, view, queued, victims, now } = options;
  const { maxMs = DEFAULT_RESERVATION_MS } = options;
  slice.reservations.set(instanceId, {
    view,
    seq: queued.ask.seq,
    victims,
    expiresAt: now + maxMs,
  });
  const worker = slice.workers.get(instanceId);
  if (worker !== undefined) {
    slice.dirtyWorkers.add(worker);
    slice.table.setEligible(worker.index, false);
  }
}

/** A reservation whose room has become free. */
export interface ReadyReservation {
  readonly instanceId: string;
  readonly view: TeamView;
  readonly queued: QueuedAsk;
}

/**
 * Ends the reservations whose room has become free and returns them; also ends
 * those that have expired or whose ask or instance is gone.
 */
export function takeReadyReservations(
  slice: Slice,
  now: number,
): ReadyReservation[] {
  const ready: ReadyReservation[] = [];
  for (const [instanceId, reservation] of slice.reservations) {
    const { view, seq, expiresAt } = reservation;
    const queued = view.queue.get(seq);
    const worker = slice.workers.get(instanceId);
    if (queued === undefined || worker === undefined || now >= expiresAt) {
      endReservation(slice, instanceId);
    } else if (
      fitsWithin(queued.ask.task.size, slice.table.freeAt(worker.index))
    ) {
      endReservation(slice, instanceId);
      ready.push({ instanceId, view, queued });
    }
  }
  return ready;
}

function endReservation(slice: Slice, instanceId: string): void {
  slice.reservations.delete(instanceId);
  const worker = slice.workers.get(instanceId);
  if (worker !== undefined) {
    slice.dirtyWorkers.add(worker);
  }
}

/** Whether an instance is reserved for the ask. */
export function hasReservation(
  slice: Slice,
  view: TeamView,
  seq: number,
): boolean {
  for (const reservation of slice.reservations.values()) {
    if (reservation.view === view && reservation.seq === seq) {
      return true;
    }
  }
  return false;
}
