import type { Update } from "@mustardweir/kernel";
import { isOwner, TENURE } from "@mustardweir/tenure";
import type { Session } from "./session_state.ts";

/**
 * Length of a lease, in milliseconds. It exceeds the time to detect a failed
 * owner plus the first renewals of its successor, so that running tasks survive
 * a change of owner.
 */
export const LEASE_MS = 4_000;
/** Largest fraction by which a worker's clock may run slow. */
const MAX_CLOCK_DRIFT = 0.02;
/** Time that a worker has to act on the end of a lease, in milliseconds. */
const EXPIRY_MARGIN_MS = 300;
/**
 * Time without confirmation by the store after which an owner stops extending
 * leases, in milliseconds.
 */
export const MAX_UNCONFIRMED_MS = 4_000;

/** Longest time for which leases of a predecessor can last, in milliseconds. */
export const MAX_INHERITED_LEASE_MS = LEASE_MS * (1 + MAX_CLOCK_DRIFT) +
  EXPIRY_MARGIN_MS;

/**
 * Returns whether this node may renew leases. A
 * successor that can't reach a worker waits for the leases that were granted up
 * to {@link MAX_UNCONFIRMED_MS} after the last confirmation, and no longer.
 */
export function mayGrantLeases(update: Update): boolean {
  return isOwner(update) &&
    update.now - update.read(TENURE).confirmedMs < MAX_UNCONFIRMED_MS;
}

/**
 * Returns the end of a lease that starts now, on the worker's clock; undefined
 * if that clock isn't known.
 */
export function leaseEnd(
  session: Readonly<Session>,
  now: number,
): number | undefined {
  const { clock } = session;
  return clock &&
    Math.floor(clock.workerMs + (now - clock.atMs) + LEASE_MS);
}

/**
 * Returns whether a predecessor's attempts on the worker stay unknown, because
 * its listings can't be read whole. Tasks of its pool wait for them, so its
 * lease has to expire.
 */
export function isUnreadable(
  { isInherited, isPartial, inheritedLeaseEndMs }: Readonly<Session>,
  now: number,
): boolean {
  return isInherited && isPartial && now >= inheritedLeaseEndMs;
}

/**
 * Returns whether all leases that the worker may hold have certainly expired.
 */
export function areLeasesExpired(
  session: Readonly<Session>,
  now: number,
): boolean {
  const { clock } = session;
  if (clock === undefined) {
    return now >= session.inheritedLeaseEndMs;
  }
  const earliestWorkerMs = clock.workerMs +
    (now - clock.atMs) * (1 - MAX_CLOCK_DRIFT);
  return earliestWorkerMs >= session.leaseUntilMs + EXPIRY_MARGIN_MS;
}
