import type { OrderResult } from "@mustardweir/protocol";
import type { Session, WorkerClock } from "./session_state.ts";

/** Largest fraction by which a worker's clock may run slow. */
export const MAX_CLOCK_DRIFT = 0.02;
/** Tolerance for readings of clocks, which are rounded, in milliseconds. */
const CLOCK_TOLERANCE_MS = 10;

/** The reply to an order that told the worker's clock. */
export interface ClockReply {
  readonly workerMs: number;
  /** When the order was sent, on this node's clock, in milliseconds. */
  readonly sentMs: number;
  /** When the reply arrived, on this node's clock, in milliseconds. */
  readonly answeredMs: number;
}

/**
 * Returns whether two incarnations differ; one that isn't known is no other.
 *
 * @example
 * ```ts
 * isOtherIncarnation(1_700_000_000_000, 0); // false
 * ```
 */
export function isOtherIncarnation(a: number, b: number): boolean {
  return a !== 0 && b !== 0 && a !== b;
}

/**
 * Returns the incarnation that a reply comes from: the one that it names, or the
 * one whose known clock alone can have shown the reading; 0 if neither tells.
 *
 * @example
 * ```ts
 * const clock = { workerMs: 60_000, sentMs: 0, atMs: 2, incarnation: 7 };
 * incarnationOfReply(clock, { workerMs: 61_000, sentMs: 999, answeredMs: 1_003 });
 * // 7
 * ```
 */
export function incarnationOfReply(
  clock: Readonly<WorkerClock> | undefined,
  reply: ClockReply,
  listing?: OrderResult["listing"],
): number {
  if (listing !== undefined) {
    return listing.incarnation;
  }
  return clock !== undefined && isSameClock(clock, reply)
    ? clock.incarnation
    : 0;
}

/**
 * Returns whether the reading is longer than any incarnation can have run that
 * started after the known reading, as its clock began at 0.
 */
function isSameClock(
  clock: Readonly<WorkerClock>,
  { workerMs, answeredMs }: ClockReply,
): boolean {
  const longestUpMs = (answeredMs - clock.sentMs) * (1 + MAX_CLOCK_DRIFT);
  return workerMs > longestUpMs + CLOCK_TOLERANCE_MS;
}

/**
 * Returns whether the known clock can't have shown the reading, so that another
 * incarnation has replied.
 */
export function hasStartedAnew(
  clock: Readonly<WorkerClock> | undefined,
  { workerMs, sentMs }: ClockReply,
): boolean {
  if (clock === undefined) {
    return false;
  }
  const sinceMs = sentMs - clock.atMs;
  const leastMs = clock.workerMs +
    (sinceMs > 0 ? sinceMs * (1 - MAX_CLOCK_DRIFT) : sinceMs);
  return workerMs < leastMs - CLOCK_TOLERANCE_MS;
}

/**
 * Returns whether all starts on the worker are known to have been executed by
 * the incarnation of its latest listing. A later one may have executed any
 * other, and numbers its ends anew.
 */
export function areStartsAttributed(
  { attempts, incarnation }: Readonly<Session>,
): boolean {
  for (const attempt of attempts.values()) {
    if (attempt.incarnation !== incarnation) {
      return false;
    }
  }
  return true;
}
