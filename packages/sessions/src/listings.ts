import type { Update } from "@mustardweir/kernel";
import { NO_RESOURCES } from "@mustardweir/model";
import {
  type AttemptName,
  type EndedAttempt,
  isComplete,
  logChange,
  OrderOutcome,
  type WorkerListing,
} from "@mustardweir/protocol";
import {
  recordKey,
  RecordKind,
  type SessionRecord,
  storeNow,
} from "@mustardweir/replica";
import { queueChange } from "@mustardweir/tenure";
import { isOtherIncarnation } from "./incarnations.ts";
import { assumeLongestLease } from "./leases.ts";
import { currentToken, invalidateUnanswered, stopAttempt } from "./orders.ts";
import {
  ATTEMPT_ENDED,
  ATTEMPT_FOUND,
  ATTEMPT_LISTED,
  ATTEMPT_REFUSED,
  ATTEMPT_RUNNING,
  ATTEMPT_VANISHED,
  attemptKey,
  AttemptPhase,
  endInheritance,
  findSession,
  isFresh,
  type LeaseEvidence,
  LISTING_HANDLED,
  LossCause,
  markChanged,
  type Session,
  type SessionAttempt,
  WORKER_CRASHED,
  WORKER_RECONCILED,
  WORKER_RESTARTED,
} from "./session_state.ts";

/**
 * Time after which a stop that has not taken effect is sent again, in
 * milliseconds.
 */
const STOP_RETRY_MS = 1_000;

/** The renewal that a listing replies to. */
export interface ListingContext {
  readonly token: number;
  readonly sentMs: number;
}

interface ReceivedListing {
  readonly context: ListingContext;
  readonly listing: WorkerListing;
}

/** Handles a worker's listing of its running and ended attempts. */
export function handleListing(
  update: Update,
  session: Session,
  received: ReceivedListing,
): void {
  const { listing } = received;
  if (isOtherIncarnation(session.incarnation, listing.incarnation)) {
    handleWorkerRestart(update, session, received);
  }
  session.incarnation = listing.incarnation || session.incarnation;
  session.heardMs = update.now;
  session.suspected = [];
  session.isListingDue = false;
  markChanged(update, session.info.id);
  handleEnds(update, session, listing.ended);
  handleRunning(update, session, received);
  retryStops(update, session);
  session.isPartial = listing.isPartial === true;
  if (isComplete(listing)) {
    markReconciled(update, session);
  }
  update.dispatch(LISTING_HANDLED, { workerId: session.info.id });
}

/**
 * Handles the first listing of a new incarnation, whose ends are numbered anew.
 * It may already run attempts that were ordered from the former one, so its
 * listing decides which of them were lost.
 */
function handleWorkerRestart(
  update: Update,
  session: Session,
  received: ReceivedListing,
): void {
  const { listing } = received;
  const lost = listUnlisted(session, listing)
    .filter((attempt) => isLost(attempt, received));
  update.emit(logChange("Worker restarted", {
    worker: session.info.id,
    incarnation: listing.incarnation,
    attempts: session.attempts.size,
    lost: lost.length,
  }));
  const present = listedKeys(listing);
  const fresh = [
    ...session.suspected.filter((name) => !present.has(attemptKey(name))),
    ...listFresh(session, lost),
  ];
  session.handled = 0;
  session.recorded = 0;
  session.acknowledged = 0;
  session.pendingRecords.length = 0;
  session.isReconciled = false;
  if (session.isInherited) {
    // The predecessor may have given it leases by the former clock.
    assumeLongestLease(update, session);
  }
  // A successor must know of the long lease before the worker gets tasks. The
  // record names the former incarnation until the worker rejects late starts that
  // carry its clock: a successor then takes the worker for restarted.
  session.isRecorded = false;
  recordSession(update, session);
  invalidateUnanswered(update, session);
  session.restartToken = session.invalidatingToken;
  removeAttempts(session, lost);
  if (fresh.length > 0) {
    update.dispatch(WORKER_CRASHED, { workerId: session.info.id, fresh });
  }
  update.dispatch(WORKER_RESTARTED, { workerId: session.info.id });
  reportVanished(update, session, { lost, reason: LossCause.Restarted });
}

/**
 * Records the new incarnation once the worker has replied to a token above those
 * of all orders to the former one, which may have given it long leases until now.
 */
export function confirmRestart(
  update: Update,
  session: Session,
  { token }: ListingContext,
): void {
  if (session.restartToken !== 0 && token >= session.restartToken) {
    session.restartToken = 0;
    assumeLongestLease(update, session);
    recordSession(update, session);
  }
}

/** Returns the session's attempts that neither run nor ended by the listing. */
function listUnlisted(
  { attempts }: Readonly<Session>,
  listing: WorkerListing,
): SessionAttempt[] {
  return listAbsent(attempts, listedKeys(listing));
}

function listAbsent(
  attempts: ReadonlyMap<string, SessionAttempt>,
  present: ReadonlySet<string>,
): SessionAttempt[] {
  const absent: SessionAttempt[] = [];
  for (const [key, attempt] of attempts) {
    if (!present.has(key)) {
      absent.push(attempt);
    }
  }
  return absent;
}

/** Returns the keys of the attempts that run on the worker or have ended there. */
function listedKeys(
  { running, ended }: WorkerListing,
): ReadonlySet<string> {
  return new Set([...running, ...ended].map(attemptKey));
}

/**
 * Returns whether an attempt that the listing leaves out has been lost without
 * an end.
 */
function isLost(
  { phase, incarnation, sinceMs, token }: Readonly<SessionAttempt>,
  { context, listing }: ReceivedListing,
): boolean {
  if (isOtherIncarnation(incarnation, listing.incarnation)) {
    return true;
  }
  // A start that was confirmed after the renewal was sent may be later than the
  // listing.
  if (!isComplete(listing) || sinceMs >= context.sentMs) {
    return false;
  }
  return phase === AttemptPhase.Running ||
    (phase === AttemptPhase.Stopping && token < context.token);
}

function handleEnds(
  update: Update,
  session: Session,
  ended: readonly EndedAttempt[],
): void {
  const newEnds = ended.filter(({ number }) => number > session.handled);
  if (newEnds.length === 0) {
    return;
  }
  for (const { number, task, attempt, end, checkpoint } of newEnds) {
    session.handled = Math.max(session.handled, number);
    session.attempts.delete(attemptKey({ task, attempt }));
    update.dispatch(ATTEMPT_ENDED, {
      workerId: session.info.id,
      task,
      attempt,
      end,
      checkpoint,
      isNew: number > session.recorded,
    });
  }
  recordSession(update, session);
}

/**
 * Queues the record of the last handled end, after the changes that the end
 * caused.
 */
export function recordSession(update: Update, session: Session): void {
  const ticket = queueRecord(update, session, false);
  session.ticket ||= ticket;
  session.pendingRecords.push({ number: session.handled, ticket });
}

/**
 * Records that nothing runs on the worker, so that a successor doesn't wait for
 * its leases. Nothing is started there until the session is recorded as in use
 * again.
 */
export function recordIdle(update: Update, session: Session): void {
  session.isRecorded = false;
  markChanged(update, session.info.id);
  session.ticket = 0;
  session.pendingRecords.length = 0;
  queueRecord(update, session, true);
}

function queueRecord(
  update: Update,
  { info, incarnation, handled, longLeaseEndMs }: Session,
  isIdle: boolean,
): number {
  const longLeaseMs = Math.ceil(longLeaseEndMs - update.now);
  const record: SessionRecord = {
    address: info.address,
    pool: info.pool,
    incarnation,
    recorded: handled,
    isIdle,
    ...(longLeaseMs > 0
      ? { longLeaseUntilMs: storeNow(update) + longLeaseMs }
      : {}),
  };
  return queueChange(
    update,
    recordKey(RecordKind.Session, info.id),
    JSON.stringify(record),
  );
}

function handleRunning(
  update: Update,
  session: Session,
  received: ReceivedListing,
): void {
  const { listing } = received;
  const workerId = session.info.id;
  const present = new Set(listing.ended.map(attemptKey));
  for (const listed of listing.running) {
    const key = attemptKey(listed);
    present.add(key);
    const attempt = session.attempts.get(key);
    if (attempt === undefined) {
      update.dispatch(ATTEMPT_FOUND, { workerId, found: listed });
      continue;
    }
    attempt.incarnation = listing.incarnation;
    if (attempt.phase === AttemptPhase.Unknown) {
      attempt.phase = AttemptPhase.Running;
      attempt.sinceMs = update.now;
      update.dispatch(ATTEMPT_RUNNING, {
        workerId,
        task: attempt.task,
        attempt: attempt.attempt,
      });
    }
    update.dispatch(ATTEMPT_LISTED, { workerId, listed });
  }
  const unlisted = listAbsent(session.attempts, present);
  if (unlisted.length === 0) {
    reportVanished(update, session, { lost: [], reason: LossCause.NotListed });
    return;
  }
  const outdated = unlisted.filter((attempt) => isOutdated(attempt, received));
  for (const attempt of outdated) {
    // If it has started at all, it did so here, and its end is beyond the list:
    // the ends before it are acknowledged, so that the worker lists that one.
    attempt.incarnation = listing.incarnation;
  }
  const invalidated = isComplete(listing)
    ? outdated.filter(({ phase }) => phase === AttemptPhase.Unknown)
    : [];
  const lost = unlisted.filter((attempt) => isLost(attempt, received));
  removeAttempts(session, [...invalidated, ...lost]);
  for (const { task, attempt } of invalidated) {
    update.dispatch(ATTEMPT_REFUSED, {
      workerId,
      task,
      attempt,
      outcome: OrderOutcome.NoAnswer,
    });
  }
  reportVanished(update, session, { lost, reason: LossCause.NotListed });
}

/**
 * Returns whether an attempt that the listing leaves out can no longer start,
 * since the worker has received a higher token or has obeyed its stop. If the
 * listing is complete, one whose start got no reply has not started either.
 */
function isOutdated(
  { phase, sinceMs, token }: Readonly<SessionAttempt>,
  { context }: ReceivedListing,
): boolean {
  return (phase === AttemptPhase.Unknown || phase === AttemptPhase.Stopping) &&
    sinceMs < context.sentMs && token < context.token;
}

function retryStops(update: Update, session: Session): void {
  for (const attempt of session.attempts.values()) {
    if (
      attempt.phase === AttemptPhase.Stopping &&
      update.now - attempt.sinceMs >= STOP_RETRY_MS
    ) {
      invalidateUnanswered(update, session);
      stopAttempt(update, {
        workerId: session.info.id,
        task: attempt.task,
        attempt: attempt.attempt,
      });
    }
  }
}

/**
 * Gives up all attempts on a worker that has crashed. Attempts whose leases
 * ended before that was known count as well.
 */
export function reportCrashed(
  update: Update,
  session: Session,
  reason: LossCause.Replaced,
): void {
  const fresh = [...session.suspected, ...listFresh(session)];
  const lost = takeAttempts(session);
  session.suspected = [];
  if (fresh.length > 0) {
    update.dispatch(WORKER_CRASHED, { workerId: session.info.id, fresh });
  }
  reportVanished(update, session, { lost, reason });
}

/**
 * Returns those of the session's attempts, or of the given ones, that the worker
 * has confirmed and just started.
 */
export function listFresh(
  session: Readonly<Session>,
  attempts: Iterable<Readonly<SessionAttempt>> = session.attempts.values(),
): AttemptName[] {
  return [...attempts]
    .filter((attempt) =>
      attempt.phase === AttemptPhase.Running && isFresh(session, attempt)
    )
    .map(({ task, attempt }) => ({ task, attempt }));
}

/** Gives up all attempts on the worker and reports them as lost. */
export function reportAllVanished(
  update: Update,
  session: Session,
  cause: {
    readonly reason: LossCause;
    readonly evidence?: LeaseEvidence;
  },
): void {
  reportVanished(update, session, { lost: takeAttempts(session), ...cause });
}

function takeAttempts({ attempts }: Session): SessionAttempt[] {
  const taken = [...attempts.values()];
  attempts.clear();
  return taken;
}

function removeAttempts(
  { attempts }: Session,
  removed: readonly SessionAttempt[],
): void {
  removed.forEach((attempt) => attempts.delete(attemptKey(attempt)));
}

function reportVanished(
  update: Update,
  session: Readonly<Session>,
  { lost, reason, evidence }: {
    readonly lost: readonly SessionAttempt[];
    readonly reason: LossCause;
    readonly evidence?: LeaseEvidence;
  },
): void {
  markChanged(update, session.info.id);
  for (const { task, attempt } of lost) {
    update.dispatch(ATTEMPT_VANISHED, {
      workerId: session.info.id,
      task,
      attempt,
      reason,
      ...(evidence === undefined ? {} : { evidence }),
    });
  }
}

/** Marks the worker as reconciled: all attempts that run on it are known. */
export function markReconciled(update: Update, session: Session): void {
  endInheritance(update, session);
  if (!session.isReconciled) {
    session.isReconciled = true;
    markChanged(update, session.info.id);
    update.dispatch(WORKER_RECONCILED, { workerId: session.info.id });
  }
}

/**
 * Adds an attempt that was found on the worker, so that its resources count as
 * used.
 */
export function recordFoundAttempt(
  update: Update,
  { workerId, task, attempt, size }: {
    readonly workerId: string;
    readonly task: string;
    readonly attempt: number;
    readonly size: typeof NO_RESOURCES | undefined;
  },
): void {
  const session = findSession(update, workerId);
  if (session !== undefined) {
    session.attempts.set(attemptKey({ task, attempt }), {
      task,
      attempt,
      size: size ?? NO_RESOURCES,
      token: currentToken(update, session),
      phase: AttemptPhase.Running,
      sinceMs: update.now,
      startedMs: -Infinity,
      incarnation: session.incarnation,
      isForeign: size === undefined,
    });
  }
}
