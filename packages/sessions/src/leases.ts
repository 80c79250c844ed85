import type { Session } from "./session_state.ts";

/**
 * Length of a lease, in milliseconds. Longer than the detection of a dead
 * owner and the first round of its successor, so that work outlives both.
 */
export const LEASE_MS = 4_000;
/** Workers' clocks may be this much slow. */
const CLOCK_DRIFT = 0.02;
/** Margin for the worker to act on the end of a lease, in milliseconds. */
const LAPSE_MARGIN_MS = 300;
/** An owner that is cut off stops to renew after this, in milliseconds. */
export const UNCONFIRMED_MS = 4_000;

/** Longest time for which a predecessor's leases may last. */
export const INHERITED_LEASE_MS = LEASE_MS * (1 + CLOCK_DRIFT) +
  LAPSE_MARGIN_MS;

/** The end of a lease that starts now, on the worker's clock. */
export function leaseEnd(
  session: Readonly<Session>,
  now: number,
): number | undefined {
  const { clock } = session;
  return clock &&
    Math.floor(clock.workerMs + (now - clock.atMs) + LEASE_MS);
}

/** True when every lease that the worker may hold is over by its clock. */
export function isLapsed(session: Readonly<Session>, now: number): boolean {
  const { clock } = session;
  if (clock === undefined) {
    return now >= session.inheritedLapseMs;
  }
  const slowest = clock.workerMs + (now - clock.atMs) * (1 - CLOCK_DRIFT);
  return slowest >= session.leaseUntilMs + LAPSE_MARGIN_MS;
}
