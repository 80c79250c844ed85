import type { RoomPlan } from "./plan.ts";
import {
  DEFAULT_RESERVATION_POLICY,
  type ReservationPolicy,
} from "./policies.ts";
import {
  type Asker,
  isOpenTo,
  ReleaseCause,
  type Reservation,
  type WideStage,
} from "./reservation.ts";

/** Most reservations of a pool. */
export const MAX_PER_POOL = 2;
/** Largest share of a pool's workers that is held. */
const MAX_HELD_SHARE = 0.25;
/** Most reservations of all pools, which bounds the state. */
const MAX_RESERVATIONS = 8;
/** Most workers of a reservation, which bounds the state. */
const MAX_WORKERS = 64;
/** Most stages that are remembered as paused. */
const MAX_PAUSES = 64;
/** Shortest pause after a reservation that expired, in milliseconds. */
const MIN_PAUSE_MS = 1_000;
/** Time until a stage without a plan is planned again, in milliseconds. */
const REPLAN_MS = 200;
/**
 * Shortest time between two queries ahead of a stage, or two searches for workers
 * to name in one, in milliseconds.
 */
const JUDGE_INTERVAL_MS = 200;
/** Most stages that are judged ahead in that time, which bounds the state. */
const MAX_JUDGED_AHEAD = 64;
/** Shortest time between two plans of a pool, in milliseconds. */
const MIN_PLAN_INTERVAL_MS = 40;
/**
 * Longest expected wait for which room is held, in milliseconds. Beyond it an
 * estimate is off by more than the hold can gain.
 */
const MAX_EXPECTED_WAIT_MS = 60_000;
/**
 * Shortest expected wait from which the time limit follows, in milliseconds.
 * Renewals, starts and stops take some hundred milliseconds whatever is
 * estimated, so that a hold with a lower limit ends just before its start.
 */
const MIN_EXPECTED_WAIT_MS = 1_000;

/**
 * The reservations of the domain. At most 8 reservations of up to 64 workers and
 * 64 pauses, with the holds of dispatch: 151 KB as measured. The times of up to 64
 * stages that are judged ahead are not in that figure.
 *
 * @example
 * ```ts
 * const book = new ReservationBook();
 * if (book.mayReserve(stage, now)) {
 *   book.add(stage, plan, { now, permitMs: 700 });
 * }
 * ```
 */
export class ReservationBook {
  /** Decides what is held and stopped. */
  policy: ReservationPolicy = DEFAULT_RESERVATION_POLICY;
  readonly #active: Reservation[] = [];
  readonly #byWorker = new Map<string, Reservation>();
  readonly #pausedUntilMs = new Map<string, number>();
  readonly #nextPlanMs = new Map<string, number>();
  readonly #nextJudgeMs = new Map<string, number>();

  /** The reservations, oldest first. */
  get active(): readonly Reservation[] {
    return this.#active;
  }

  /** Returns the reservation of a stage. */
  find(stage: string): Reservation | undefined {
    return this.#active.find((known) => known.stage.name === stage);
  }

  /** Returns the reservation that holds a worker. */
  holderOf(workerId: string): Reservation | undefined {
    return this.#byWorker.get(workerId);
  }

  /** Returns whether room may be planned for the stage now. */
  mayReserve(
    { name, pool, rank }: Pick<WideStage, "name" | "pool" | "rank">,
    now: number,
  ): boolean {
    const isFull = this.#active.length >= MAX_RESERVATIONS ||
      this.#inPool(pool).length >= MAX_PER_POOL;
    return this.policy.holds &&
      now >= (this.#nextPlanMs.get(pool) ?? -Infinity) &&
      now >= (this.#pausedUntilMs.get(name) ?? -Infinity) &&
      (!isFull || this.findOutranked({ pool, rank }) !== undefined);
  }

  /**
   * Returns the reservation that is given up for a stage of this rank: the last
   * one of the pool or of all pools, whichever limit is reached, if the stage
   * ranks before it.
   */
  findOutranked(
    { pool, rank }: Pick<WideStage, "pool" | "rank">,
  ): Reservation | undefined {
    if (this.#inPool(pool).length >= MAX_PER_POOL) {
      return this.findOutrankedIn({ pool, rank });
    }
    return this.#active.length >= MAX_RESERVATIONS
      ? lastOutranked(this.#active, rank)
      : undefined;
  }

  /**
   * Returns the last reservation of the pool if a stage of this rank is placed
   * before it, whether or not a limit is reached.
   */
  findOutrankedIn(
    { pool, rank }: Pick<WideStage, "pool" | "rank">,
  ): Reservation | undefined {
    return lastOutranked(this.#inPool(pool), rank);
  }

  /**
   * Returns how many workers of a pool may be held for one more reservation,
   * without those of `replaced`.
   */
  freeWorkers(
    pool: string,
    poolWorkers: number,
    replaced?: Reservation,
  ): number {
    const most = Math.max(1, Math.floor(poolWorkers * MAX_HELD_SHARE));
    const held = this.#inPool(pool)
      .filter((known) => known !== replaced)
      .reduce((sum, { workers }) => sum + workers.size, 0);
    return Math.min(MAX_WORKERS, Math.max(0, most - held));
  }

  /**
   * Adds a reservation. Returns undefined if the plan calls for none: its room
   * is free already, or will be only after too long a time.
   */
  add(
    stage: WideStage,
    plan: RoomPlan | undefined,
    { now, permitMs }: {
      readonly now: number;
      /** Time until the stage can have its permits, in milliseconds. */
      readonly permitMs: number;
    },
  ): Reservation | undefined {
    this.#nextPlanMs.set(stage.pool, now + MIN_PLAN_INTERVAL_MS);
    if (
      plan === undefined || plan.readyMs <= now ||
      plan.readyMs > now + MAX_EXPECTED_WAIT_MS
    ) {
      this.#pause(stage.name, { now, untilMs: now + REPLAN_MS });
      return undefined;
    }
    const expectedMs = Math.max(plan.readyMs, now + permitMs);
    const reservation: Reservation = {
      stage,
      workers: plan.workers,
      createdMs: now,
      deadlineMs: now + 2 * Math.max(MIN_EXPECTED_WAIT_MS, expectedMs - now),
      expectedMs,
      openUntilMs: expectedMs,
      slowness: plan.slowness,
      estimatedMs: now,
      // The stage itself is being placed.
      isOpen: true,
    };
    this.#active.push(reservation);
    for (const workerId of plan.workers.keys()) {
      this.#byWorker.set(workerId, reservation);
    }
    return reservation;
  }

  /** Removes a reservation; its stage pauses if it has expired. */
  remove(
    reservation: Reservation,
    { cause, now }: {
      /** Why it was given up; undefined if it was fulfilled. */
      readonly cause: ReleaseCause | undefined;
      readonly now: number;
    },
  ): void {
    const index = this.#active.indexOf(reservation);
    if (index < 0) {
      return;
    }
    this.#active.splice(index, 1);
    for (const workerId of reservation.workers.keys()) {
      // The reservation that replaces this one may hold the same worker.
      if (this.#byWorker.get(workerId) === reservation) {
        this.#byWorker.delete(workerId);
      }
    }
    reservation.isOpen = true;
    if (cause === ReleaseCause.Expired) {
      const heldMs = now - reservation.createdMs;
      this.#pause(reservation.stage.name, {
        now,
        untilMs: now + Math.max(MIN_PAUSE_MS, heldMs),
      });
    }
  }

  /**
   * Opens the room of a pool that a stage may use, and closes the rest. Returns
   * whether any is open.
   */
  openFor(pool: string, asker: Asker, now: number): boolean {
    let isAnyOpen = false;
    for (const reservation of this.#active) {
      if (reservation.stage.pool === pool) {
        reservation.isOpen = isOpenTo(reservation, asker, now);
        isAnyOpen ||= reservation.isOpen;
      }
    }
    return isAnyOpen;
  }

  /** Returns whether workers may be judged ahead for the stage now. */
  mayJudge(stage: string, now: number): boolean {
    return now >= (this.#nextJudgeMs.get(stage) ?? -Infinity) &&
      (this.#nextJudgeMs.size < MAX_JUDGED_AHEAD ||
        [...this.#nextJudgeMs.values()].some((nextMs) => nextMs <= now));
  }

  /** Notes that workers were judged ahead for the stage, or that none is left. */
  noteJudged(stage: string, now: number): void {
    for (const [known, nextMs] of this.#nextJudgeMs) {
      if (nextMs <= now) {
        this.#nextJudgeMs.delete(known);
      }
    }
    this.#nextJudgeMs.set(stage, now + JUDGE_INTERVAL_MS);
  }

  /** Removes all reservations and pauses, at the end of a tenure. */
  clear(): void {
    for (const reservation of this.#active) {
      reservation.isOpen = true;
    }
    this.#active.length = 0;
    this.#byWorker.clear();
    this.#pausedUntilMs.clear();
    this.#nextPlanMs.clear();
    this.#nextJudgeMs.clear();
  }

  #inPool(pool: string): Reservation[] {
    return this.#active.filter(({ stage }) => stage.pool === pool);
  }

  #pause(
    stage: string,
    { now, untilMs }: { readonly now: number; readonly untilMs: number },
  ): void {
    for (const [name, endMs] of this.#pausedUntilMs) {
      if (endMs <= now || this.#pausedUntilMs.size >= MAX_PAUSES) {
        this.#pausedUntilMs.delete(name);
      }
    }
    this.#pausedUntilMs.set(stage, untilMs);
  }
}

/** Returns the last of the reservations if the rank is before it. */
function lastOutranked(
  known: readonly Reservation[],
  rank: number,
): Reservation | undefined {
  return known.filter(({ stage }) => rank < stage.rank)
    .reduce<Reservation | undefined>(
      (last, next) =>
        last === undefined || next.stage.rank >= last.stage.rank ? next : last,
      undefined,
    );
}
