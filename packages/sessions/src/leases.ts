import type { Update } from "@mustardweir/kernel";
import { NODE_IDENTITY, type WorkerListing } from "@mustardweir/protocol";
import { formerOwnerEndMs, REPLICA, storeNow } from "@mustardweir/replica";
import {
  identifyOwner,
  isOwner,
  OwnerProcess,
  TENURE,
} from "@mustardweir/tenure";
import {
  hasStartedAnew,
  incarnationOfReply,
  MAX_CLOCK_DRIFT,
} from "./incarnations.ts";
import type { LeaseEvidence, Session } from "./session_state.ts";

/**
 * Length of a lease, in milliseconds. It exceeds the time to detect a failed
 * owner plus the first renewals of its successor, so that running tasks survive
 * a change of owner.
 */
export const LEASE_MS = 4_000;
/** Time that a worker has to act on the end of a lease, in milliseconds. */
const EXPIRY_MARGIN_MS = 300;
/**
 * Time without confirmation by the store after which an owner stops extending
 * leases, in milliseconds.
 */
export const MAX_UNCONFIRMED_MS = 4_000;

/** Longest time for which leases of a predecessor can last, in milliseconds. */
export const MAX_INHERITED_LEASE_MS = longestMs(LEASE_MS);

/**
 * Longest lease that workers grant unless the settings tell another, in
 * milliseconds.
 */
const DEFAULT_MAX_GRANTED_MS = 10_000;

/** A reading of a worker's clock, from the reply to an order. */
export interface ClockReading {
  readonly workerMs: number;
  /** When the order was sent, on this node's clock, in milliseconds. */
  readonly sentMs: number;
  /** End of the lease that the order carried, in ms; undefined for none. */
  readonly leaseUntilMs: number | undefined;
  /** The listing in the reply, which names the incarnation; none by default. */
  readonly listing?: WorkerListing;
}

/**
 * Returns the time after which a lease of the given length is certainly over,
 * in milliseconds.
 */
function longestMs(leaseMs: number): number {
  return leaseMs * (1 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_MS;
}

/** Returns the longest lease that workers grant, in milliseconds. */
function maxGrantedMs(update: Update): number {
  return update.service(NODE_IDENTITY).maxLeaseMs ?? DEFAULT_MAX_GRANTED_MS;
}

/**
 * Notes a reading of the worker's clock. The clock of a new incarnation starts
 * anew, so that orders with the end of a lease by the former clock have given it
 * the longest lease that it grants.
 */
export function noteClock(
  update: Update,
  session: Session,
  { workerMs, sentMs, leaseUntilMs = 0, listing }: ClockReading,
): void {
  const { clock } = session;
  const reply = { workerMs, sentMs, answeredMs: update.now };
  const isNewClock = hasStartedAnew(clock, reply);
  if (clock === undefined) {
    session.leaseUntilMs = inheritedLeaseUntilMs(update, session, workerMs);
  }
  session.clock = {
    workerMs,
    sentMs,
    atMs: update.now,
    incarnation: incarnationOfReply(clock, reply, listing),
  };
  if (isNewClock) {
    session.leaseUntilMs = 0;
    assumeLongestLease(update, session);
    // A successor knows of the long lease only by the record of the restart. The
    // renewal in flight was sent to the former incarnation.
    session.isListingDue = true;
    session.renewal = 0;
    session.nextRenewalMs = update.now;
  }
  session.leaseUntilMs = Math.max(
    session.leaseUntilMs,
    Math.min(leaseUntilMs, workerMs + maxGrantedMs(update)),
  );
}

/**
 * Returns the latest end of a lease that predecessors may have granted, on the
 * worker's clock, at the first reply to this owner: the worker rejects their
 * tokens from then on, so that they can't have granted any later.
 */
function inheritedLeaseUntilMs(
  update: Update,
  { inheritedLeaseEndMs, isReborn, longLeaseEndMs }: Readonly<Session>,
  workerMs: number,
): number {
  const grantedMs = Math.min(
    isReborn ? maxGrantedMs(update) : LEASE_MS,
    inheritedLeaseEndMs - update.now,
  );
  return workerMs + Math.max(grantedMs, longLeaseEndMs - update.now, 0);
}

/** Notes that the worker may hold the longest lease that it grants. */
export function assumeLongestLease(update: Update, session: Session): void {
  const maxMs = maxGrantedMs(update);
  session.leaseUntilMs = Math.max(
    session.leaseUntilMs,
    (session.clock?.workerMs ?? 0) + maxMs,
  );
  session.longLeaseEndMs = update.now + longestMs(maxMs);
}

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
 * Returns when the ordinary leases that former owners may have granted are
 * certainly over, in milliseconds.
 */
export function formerLeasesEndMs(update: Update): number {
  return formerGrantsEndMs(update) + MAX_INHERITED_LEASE_MS;
}

/**
 * Returns when all leases that former owners may have granted to the worker are
 * certainly over if it doesn't reply, in milliseconds.
 */
export function inheritedLeaseEndMs(
  update: Update,
  { isReborn, longLeaseEndMs }: Pick<Session, "isReborn" | "longLeaseEndMs">,
): number {
  const longestGrantedMs = isReborn
    ? longestMs(maxGrantedMs(update))
    : MAX_INHERITED_LEASE_MS;
  return Math.max(
    formerGrantsEndMs(update) + longestGrantedMs,
    longLeaseEndMs,
  );
}

/**
 * Returns the time after which former owners grant no leases, in milliseconds:
 * they could renew them for {@link MAX_UNCONFIRMED_MS} after they had lost the
 * domain, but no longer than their processes lived or than this one held the
 * domain itself.
 */
function formerGrantsEndMs(update: Update): number {
  const { gainedMs } = update.read(TENURE);
  const latestMs = gainedMs + MAX_UNCONFIRMED_MS;
  const endedMs = formerOwnerActiveUntilMs(update);
  const { claimedMs } = update.read(REPLICA).formerTenure?.record ?? {};
  if (endedMs === undefined || claimedMs === undefined) {
    return latestMs;
  }
  // Those before it lost the domain when it claimed it.
  const earlierMs = claimedMs - storeNow(update) + update.now +
    MAX_UNCONFIRMED_MS;
  return Math.min(latestMs, Math.max(endedMs, earlierMs));
}

/**
 * Returns the time after which the former owner granted no lease; undefined if it
 * may still act.
 */
function formerOwnerActiveUntilMs(update: Update): number | undefined {
  const replica = update.read(REPLICA);
  const { startedMs, lostMs } = update.read(TENURE);
  const former = replica.formerTenure?.record;
  if (former === undefined) {
    return undefined;
  }
  switch (identifyOwner(update, former)) {
    case OwnerProcess.This:
      return lostMs;
    case OwnerProcess.EndedHere:
      return startedMs;
    case OwnerProcess.Other:
      return formerOwnerEndMs(replica);
  }
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
  const evidence = leaseEvidence(session, now);
  return evidence === undefined
    ? now >= session.inheritedLeaseEndMs
    : evidence.workerClockMs >= evidence.leaseUntilMs + EXPIRY_MARGIN_MS;
}

/**
 * Returns what the worker's clock tells of its leases; undefined if that clock
 * isn't known.
 */
export function leaseEvidence(
  { clock, leaseUntilMs }: Readonly<Session>,
  now: number,
): LeaseEvidence | undefined {
  if (clock === undefined) {
    return undefined;
  }
  const readingAgeMs = now - clock.atMs;
  return {
    workerClockMs: clock.workerMs + readingAgeMs * (1 - MAX_CLOCK_DRIFT),
    leaseUntilMs,
    readingAgeMs,
  };
}

/** Returns the evidence as fields of a log line, in whole milliseconds. */
export function evidenceFields(
  evidence: LeaseEvidence | undefined,
): Readonly<Record<string, number>> {
  return evidence === undefined ? {} : {
    workerClockMs: Math.round(evidence.workerClockMs),
    leaseUntilMs: Math.round(evidence.leaseUntilMs),
    readingAgeMs: Math.round(evidence.readingAgeMs),
  };
}
