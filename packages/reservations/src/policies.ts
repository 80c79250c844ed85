import type { RunningWork, WideStage } from "./reservation.ts";

/** Time that a stop with a checkpoint takes, in milliseconds: `bounds.stop_ms`. */
const STOP_MS = 900;
/**
 * Least time by which a stop must bring the end of a task forward, in
 * milliseconds: less is not worth the work since its last checkpoint.
 */
const MIN_GAIN_MS = 1_000;
/**
 * Time after its start for which a task that was preempted before is not
 * preempted again, in milliseconds, so that it gets on in between.
 */
const RESUMED_GRACE_MS = 5_000;

/**
 * Decides whether room is held and whether running tasks are stopped for it.
 *
 * @example
 * ```ts
 * const policy = new HoldAndPreempt();
 * const freeMs = policy.endOf(stage, run, now);
 * ```
 */
export abstract class ReservationPolicy {
  /** Whether room is held at all. */
  readonly holds: boolean = true;

  /** Returns whether the task is to be stopped if its room is held. */
  abstract stops(stage: WideStage, run: RunningWork, now: number): boolean;

  /** Returns when the room of the task is expected to be free, in ms. */
  endOf(stage: WideStage, run: RunningWork, now: number): number {
    return this.stops(stage, run, now) ? now + STOP_MS : run.endMs;
  }
}

/** Holds no room: the base line of measurements. */
export class HoldNothing extends ReservationPolicy {
  override readonly holds = false;

  override stops(): boolean {
    return false;
  }
}

/** Holds room and waits for the tasks there to end. */
export class HoldOnly extends ReservationPolicy {
  override stops(): boolean {
    return false;
  }
}

/** Also stops tasks of less urgent queues that resume from a checkpoint. */
export class HoldAndPreempt extends ReservationPolicy {
  override stops(
    stage: WideStage,
    { isPreemptible, priority, endMs, preemptions, startedMs }: RunningWork,
    now: number,
  ): boolean {
    return isPreemptible && priority > stage.priority &&
      endMs > now + STOP_MS + MIN_GAIN_MS &&
      (preemptions === 0 || now - startedMs > RESUMED_GRACE_MS);
  }
}

/** The policy of a new book. */
export const DEFAULT_RESERVATION_POLICY: ReservationPolicy = new HoldOnly();

/**
 * The policy in use. Stops let wide jobs earn more where processor time is free,
 * but on a day with hard load that charges it the owner's extra work costs more
 * than they gain, so reservations are switched off until they cost less.
 */
export const POLICY_IN_USE: ReservationPolicy = new HoldNothing();
