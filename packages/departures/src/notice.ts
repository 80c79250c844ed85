import { type WorkerInfo, WorkerState } from "@mustardweir/model";

/**
 * Longest time from the write of a registration until a node reads it while the
 * feed works, in milliseconds: the replica's pause of 150 ms between two calls,
 * and 100 ms for a call.
 */
export const FEED_DELAY_MS = 250;
/** Time for which a call of the feed waits for a change, in milliseconds. */
const FEED_WAIT_MS = 500;
/**
 * Longest time between two replies of a feed that works, in milliseconds: a call
 * waits 500 ms for a change, the pause takes 150 ms, the rest is for slow calls.
 */
export const MAX_REPLY_GAP_MS = 1_000;

/** A worker's announcement that it leaves, as seen by this node. */
export interface Notice {
  /** Process that announced it; 0 if the registration doesn't tell. */
  readonly incarnation: number;
  /**
   * Time before which the worker doesn't leave, in milliseconds on this node's
   * clock.
   */
  readonly departsMs: number;
  /**
   * Whether this node saw the registration change. Otherwise its age is unknown:
   * the worker may leave at any time.
   */
  readonly isDated: boolean;
}

/** When a registration was read. */
export interface Sighting {
  readonly now: number;
  /**
   * Time of the feed's reply before the one with the change, in milliseconds;
   * undefined if the registration comes from a listing.
   */
  readonly repliedMs: number | undefined;
}

/**
 * Returns the notice that holds once a registration has been read; undefined if
 * the worker announces no departure. A copy that is read again never extends the
 * time of the notice before it, and one without a usable time doesn't withdraw
 * it.
 *
 * @example
 * ```ts
 * const notice = nextNotice(undefined, info, { now: 9_000, repliedMs: 8_800 });
 * ```
 */
export function nextNotice(
  known: Notice | undefined,
  { state, incarnation, remainingMs }: Readonly<WorkerInfo>,
  { now, repliedMs }: Sighting,
): Notice | undefined {
  if (state !== WorkerState.Draining) {
    return undefined;
  }
  const held = known?.incarnation === incarnation ? known : undefined;
  if (remainingMs === undefined) {
    return held;
  }
  const isDated = repliedMs !== undefined &&
    now - repliedMs <= MAX_REPLY_GAP_MS;
  // A copy of unknown age may be the one that is known already.
  if (
    !isDated && held !== undefined && now + remainingMs >= held.departsMs
  ) {
    return held;
  }
  // The change may have been written right after the reply before.
  const delayMs = Math.max(
    FEED_DELAY_MS,
    now - (repliedMs ?? now) - FEED_WAIT_MS,
  );
  const departsMs = now + (isDated ? remainingMs - delayMs : 0);
  return {
    incarnation,
    departsMs: Math.min(departsMs, held?.departsMs ?? Infinity),
    isDated: isDated && held?.isDated !== false,
  };
}

/**
 * Returns the notice after a suspension of this node's machine that its clock
 * doesn't count: the time went on for the worker.
 *
 * @example
 * ```ts
 * departure.notice = afterSuspension(departure.notice, 2_000);
 * ```
 */
export function afterSuspension(notice: Notice, forMs: number): Notice {
  return { ...notice, departsMs: notice.departsMs - forMs };
}
