import type { Update } from "@mustardweir/kernel";
import { SCHEDULERS } from "@mustardweir/membership";

/** Writes a second that the journals of all schedulers share. */
const FLEET_WRITES_PER_SECOND = 240;

/** Writes that a scheduler may make at once after it made few. */
const BURST_WRITES = 4;

const MS_PER_SECOND = 1_000;

/** How many writes a scheduler may make now. */
export interface WritePace {
  /** Writes left; a fraction grows to a write. */
  allowance: number;
  countedAt: number;
}

/**
 * The pace of a scheduler that has not written yet.
 *
 * @example
 * ```ts
 * const pace = createPace();
 * ```
 */
export function createPace(): WritePace {
  return { allowance: BURST_WRITES, countedAt: 0 };
}

/**
 * True when the scheduler may write now, which counts as a write. Each has an
 * equal part of what the table takes, so the more schedulers there are the
 * more records each write carries.
 *
 * @example
 * ```ts
 * if (takeTurn(update, pace)) {
 *   write(update);
 * }
 * ```
 */
export function takeTurn(update: Update, pace: WritePace): boolean {
  const schedulers = update.read(SCHEDULERS).peers.length + 1;
  const perMs = FLEET_WRITES_PER_SECOND / schedulers / MS_PER_SECOND;
  const earned = (update.now - pace.countedAt) * perMs;
  pace.allowance = Math.min(pace.allowance + earned, BURST_WRITES);
  pace.countedAt = update.now;
  if (pace.allowance < 1) {
    return false;
  }
  pace.allowance -= 1;
  return true;
}
