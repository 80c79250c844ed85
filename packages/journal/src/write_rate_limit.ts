import type { Update } from "@mustardweir/kernel";
import { SCHEDULERS } from "@mustardweir/membership";

/** Total writes per second of the journals of all schedulers. */
const FLEET_WRITES_PER_SECOND = 240;

/** Largest number of writes that a scheduler can accumulate for a burst. */
const BURST_WRITES = 4;

const MS_PER_SECOND = 1_000;

/** A token bucket for the writes of one scheduler. */
export interface WriteRateLimit {
  /** Number of writes available; may be a fraction. */
  available: number;
  refilledAt: number;
}

/**
 * Returns the rate limit of a scheduler that has not written yet.
 *
 * @example
 * ```ts
 * const limit = createRateLimit();
 * ```
 */
export function createRateLimit(): WriteRateLimit {
  return { available: BURST_WRITES, refilledAt: 0 };
}

/**
 * Takes one write from the rate limit; returns false if none is available.
 * Each scheduler has an equal share of the writes that the table accepts, so
 * the more schedulers there are, the more records each write carries.
 *
 * @example
 * ```ts
 * if (tryTakeWrite(update, limit)) {
 *   write(update);
 * }
 * ```
 */
export function tryTakeWrite(update: Update, limit: WriteRateLimit): boolean {
  const schedulers = update.read(SCHEDULERS).peers.length + 1;
  const perMs = FLEET_WRITES_PER_SECOND / schedulers / MS_PER_SECOND;
  const refill = (update.now - limit.refilledAt) * perMs;
  limit.available = Math.min(limit.available + refill, BURST_WRITES);
  limit.refilledAt = update.now;
  if (limit.available < 1) {
    return false;
  }
  limit.available -= 1;
  return true;
}
