import type { Update } from "@mustardweir/kernel";
import { NO_RESOURCES } from "@mustardweir/model";
import {
  type AttemptName,
  type EndedAttempt,
  logChange,
  OrderOutcome,
  type WorkerListing,
} from "@mustardweir/protocol";
import {
  recordKey,
  RecordKind,
  type SessionRecord,
} from "@mustardweir/replica";
import { queueChange } from "@mustardweir/tenure";
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
  findSession,
  isFresh,
  LISTING_HANDLED,
  LossCause,
  markChanged,
  type Session,
  type SessionAttempt,
  WORKER_CRASHED,
  WORKER_RECONCILED,
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
  { context, listing }: ReceivedListing,
): void {
  if (
    session.incarnation !== 0 && listing.incarnation !== session.incarnation
  ) {
    handleWorkerRestart(update, session, listing.incarnation);
    return;
  }
  if (session.incarnation === 0) {
    session.incarnation = listing.incarnation;
  }
  session.heardMs = update.now;
  session.suspected = [];
  markChanged(update, session.info.id);
  handleEnds(update, session, listing.ended);
  handleRunning(update, session, { context, listing });
  retryStops(update, session);
  session.isPartial = listing.isPartial === true;
  if (!session.isPartial) {
    markReconciled(update, session);
  }
  update.dispatch(LISTING_HANDLED, { workerId: session.info.id });
}

/**
 * Handles a new incarnation of the worker; no earlier attempt runs there any
 * more.
 */
function handleWorkerRestart(
  update: Update,
  session: Session,
  incarnation: number,
): void {
  update.emit(logChange("Worker restarted", {
    worker: session.info.id,
    incarnation,
    attempts: session.attempts.size,
  }));
  reportCrashed(update, session, LossCause.Restarted);
  session.incarnation = incarnation;
  session.heardMs = update.now;
  session.handled = 0;
  session.recorded = 0;
  session.pendingRecords.length = 0;
  session.leaseUntilMs = 0;
  session.answeredAddress = session.info.address;
  session.isReconciled = false;
  recordSession(update, session);
  invalidateUnanswered(update, session);
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
  { info, incarnation, handled }: Session,
  isIdle: boolean,
): number {
  const record: SessionRecord = {
    address: info.address,
    pool: info.pool,
    incarnation,
    recorded: handled,
    isIdle,
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
  { context, listing }: ReceivedListing,
): void {
  const workerId = session.info.id;
  const listedKeys = new Set<string>();
  for (const listed of listing.running) {
    const key = attemptKey(listed);
    listedKeys.add(key);
    const attempt = session.attempts.get(key);
    if (attempt === undefined) {
      update.dispatch(ATTEMPT_FOUND, { workerId, found: listed });
      continue;
    }
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
  if (listing.isPartial === true) {
    // Starting one of the others elsewhere could run it twice.
    return;
  }
  for (const [key, attempt] of [...session.attempts]) {
    const isOlderThanRenewal = attempt.sinceMs < context.sentMs;
    if (listedKeys.has(key) || !isOlderThanRenewal) {
      continue;
    }
    const name = { workerId, task: attempt.task, attempt: attempt.attempt };
    if (
      attempt.phase === AttemptPhase.Unknown && attempt.token < context.token
    ) {
      session.attempts.delete(key);
      update.dispatch(ATTEMPT_REFUSED, {
        ...name,
        outcome: OrderOutcome.NoAnswer,
      });
    } else if (
      attempt.phase === AttemptPhase.Running ||
      (attempt.phase === AttemptPhase.Stopping &&
        attempt.token < context.token)
    ) {
      session.attempts.delete(key);
      update.dispatch(ATTEMPT_VANISHED, {
        ...name,
        reason: LossCause.NotListed,
      });
    }
  }
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
  reason: LossCause.Restarted | LossCause.Replaced,
): void {
  const fresh = [...session.suspected, ...listFresh(session)];
  const lost = takeAttempts(session);
  session.suspected = [];
  if (fresh.length > 0) {
    update.dispatch(WORKER_CRASHED, { workerId: session.info.id, fresh });
  }
  reportVanished(update, session, { lost, reason });
}

/** Returns the attempts that the worker has confirmed and just started. */
export function listFresh(session: Readonly<Session>): AttemptName[] {
  return [...session.attempts.values()]
    .filter((attempt) =>
      attempt.phase === AttemptPhase.Running && isFresh(session, attempt)
    )
    .map(({ task, attempt }) => ({ task, attempt }));
}

/** Gives up all attempts on the worker and reports them as lost. */
export function reportAllVanished(
  update: Update,
  session: Session,
  reason: LossCause,
): void {
  reportVanished(update, session, { lost: takeAttempts(session), reason });
}

function takeAttempts({ attempts }: Session): SessionAttempt[] {
  const taken = [...attempts.values()];
  attempts.clear();
  return taken;
}

function reportVanished(
  update: Update,
  session: Readonly<Session>,
  { lost, reason }: {
    readonly lost: readonly SessionAttempt[];
    readonly reason: LossCause;
  },
): void {
  markChanged(update, session.info.id);
  for (const { task, attempt } of lost) {
    update.dispatch(ATTEMPT_VANISHED, {
      workerId: session.info.id,
      task,
      attempt,
      reason,
    });
  }
}

/** Marks the worker as reconciled: all attempts that run on it are known. */
export function markReconciled(update: Update, session: Session): void {
  session.isInherited = false;
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
      isForeign: size === undefined,
    });
  }
}
