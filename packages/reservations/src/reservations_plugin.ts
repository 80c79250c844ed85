import {
  CommandPriority,
  createStateKey,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import {
  count,
  gauge,
  GAUGE_INTERVAL_MS,
  logChange,
  observe,
} from "@mustardweir/protocol";
import type { PermitPolicy } from "@mustardweir/model";
import { TENURE_GAINED, TENURE_LOST } from "@mustardweir/tenure";
import { permitWaitMs } from "./permits_ahead.ts";
import { planRoom } from "./plan.ts";
import { POLICY_IN_USE } from "./policies.ts";
import {
  ReleaseCause,
  type Reservation,
  type WideStage,
  type WorkerRoom,
} from "./reservation.ts";
import { ReservationBook } from "./reservation_book.ts";

/** Interval at which the expected time is computed anew, in milliseconds. */
const ESTIMATE_INTERVAL_MS = 200;

/** State of the reservations plug-in; empty on nodes that don't own the domain. */
export const RESERVATIONS = createStateKey<ReservationBook>("reservations");

/** A reservation and what follows from it. */
export interface ReservedRoom {
  readonly reservation: Reservation;
  /** The reservation that was given up for it; undefined for none. */
  readonly replaced: Reservation | undefined;
  /** Names of the tasks. */
  readonly stops: readonly string[];
}

/**
 * Holds the workers that have room for the stage soonest; undefined if none are
 * held, as where all work of the pool is of similar size. Gives up a reservation
 * that the stage outranks.
 *
 * @example
 * ```ts
 * const reserved = reserveRoom(update, stage, {
 *   poolWorkers: candidates.length,
 *   hasSmallerWork: () => true,
 *   policy: queue.permits,
 *   validUntilMs: (workerId) => good.get(workerId)?.validUntilMs,
 *   roomsFor: () => candidates.map(roomOf),
 * });
 * ```
 */
export function reserveRoom(
  update: Update,
  stage: WideStage,
  { poolWorkers, hasSmallerWork, policy, validUntilMs, roomsFor }: {
    /** Number of workers of the pool. */
    readonly poolWorkers: number;
    /**
     * Returns whether work that is smaller than the stage's tasks runs in the
     * pool or waits for it.
     */
    readonly hasSmallerWork: () => boolean;
    /** Set if the stage needs permits. */
    readonly policy: PermitPolicy | undefined;
    /** Returns when a worker's permit ends, in ms; undefined without one. */
    readonly validUntilMs: (workerId: string) => number | undefined;
    /**
     * Returns the workers on which the stage may run, without those that other
     * reservations hold.
     */
    readonly roomsFor: (replaced: Reservation | undefined) => WorkerRoom[];
  },
): ReservedRoom | undefined {
  const book = update.write(RESERVATIONS);
  const { now } = update;
  if (!hasSmallerWork()) {
    book.add(stage, undefined, { now, permitMs: 0 });
    return undefined;
  }
  const planWithout = (given: Reservation | undefined) =>
    planRoom(stage, roomsFor(given), {
      policy: book.policy,
      maxWorkers: book.freeWorkers(stage.pool, poolWorkers, given),
      now,
    });
  let replaced = book.findOutranked(stage);
  let plan = planWithout(replaced);
  if (plan === undefined) {
    // A less urgent reservation may use up the workers that may be held.
    const outranked = book.findOutrankedIn(stage);
    if (outranked !== undefined && outranked !== replaced) {
      replaced = outranked;
      plan = planWithout(outranked);
    }
  }
  const reservation = book.add(stage, plan, {
    now,
    permitMs: plan === undefined ? 0 : permitWaitMs(plan.workers, {
      policy,
      validUntilMs,
      readyMs: plan.readyMs,
    }),
  });
  if (reservation === undefined || plan === undefined) {
    return undefined;
  }
  if (replaced !== undefined) {
    releaseRoom(update, replaced, ReleaseCause.Outranked);
  }
  update.emit(count("reservations-made"));
  update.emit(logChange("Room reserved", {
    stage: stage.name,
    pool: stage.pool,
    tasks: stage.tasks,
    workers: [...reservation.workers.keys()].join(" "),
    expectedInMs: Math.round(reservation.expectedMs - now),
    stopped: plan.stops.length,
  }));
  return { reservation, replaced, stops: plan.stops };
}

/**
 * Gives up a reservation.
 *
 * @example
 * ```ts
 * releaseRoom(update, reservation, ReleaseCause.WorkerDraining);
 * ```
 */
export function releaseRoom(
  update: Update,
  reservation: Reservation,
  cause: ReleaseCause,
): void {
  const { now } = update;
  update.write(RESERVATIONS).remove(reservation, { cause, now });
  update.emit(count(`reservations-given-up-${cause}`));
  update.emit(logChange("Reservation given up", {
    stage: reservation.stage.name,
    cause,
    heldMs: Math.round(now - reservation.createdMs),
    lateMs: Math.round(now - reservation.expectedMs),
  }));
}

/**
 * Ends the reservation of a stage that has started.
 *
 * @example
 * ```ts
 * fulfillReservation(update, reservation);
 * ```
 */
export function fulfillReservation(
  update: Update,
  reservation: Reservation,
): void {
  const { now } = update;
  const heldMs = Math.round(now - reservation.createdMs);
  update.write(RESERVATIONS).remove(reservation, { cause: undefined, now });
  update.emit(count("reservations-fulfilled"));
  update.emit(observe("reservation-held-ms", heldMs));
  update.emit(logChange("Reservation fulfilled", {
    stage: reservation.stage.name,
    heldMs,
    lateMs: Math.round(now - reservation.expectedMs),
  }));
}

/**
 * Computes anew when the workers of the reservation have room, a few times a
 * second; `rooms` returns them.
 *
 * @example
 * ```ts
 * updateExpectation(update, reservation, () => heldRooms);
 * ```
 */
export function updateExpectation(
  update: Update,
  reservation: Reservation,
  rooms: () => readonly WorkerRoom[],
): void {
  const { now } = update;
  if (now - reservation.estimatedMs < ESTIMATE_INTERVAL_MS) {
    return;
  }
  reservation.estimatedMs = now;
  const plan = planRoom(reservation.stage, rooms(), {
    policy: update.write(RESERVATIONS).policy,
    maxWorkers: reservation.workers.size,
    now,
  });
  if (plan !== undefined) {
    reservation.expectedMs = plan.readyMs;
    reservation.openUntilMs = Math.min(reservation.openUntilMs, plan.readyMs);
    reservation.slowness = plan.slowness;
  }
}

/** Keeps the reservations of the domain's owner. */
export class ReservationsPlugin extends Plugin {
  override readonly name = "reservations";

  override register(kernel: Kernel): Undo {
    const clear = (_: unknown, update: Update) =>
      update.write(RESERVATIONS).clear();
    return mergeUndo(
      kernel.registerState(RESERVATIONS, createBook()),
      kernel.registerCommand(TENURE_GAINED, clear, CommandPriority.High),
      kernel.registerCommand(TENURE_LOST, clear, CommandPriority.High),
      kernel.registerPeriodic({
        intervalMs: GAUGE_INTERVAL_MS,
        run: (update) => {
          const { active } = update.read(RESERVATIONS);
          update.emit(gauge("reservations-active", active.length));
        },
      }),
    );
  }
}

function createBook(): ReservationBook {
  const book = new ReservationBook();
  book.policy = POLICY_IN_USE;
  return book;
}

registerPlugin({
  name: "reservations",
  roles: [Role.Combined],
  create: () => new ReservationsPlugin(),
});
