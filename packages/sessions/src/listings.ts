import type { Update } from "@mustardweir/kernel";
import { NO_RESOURCES } from "@mustardweir/model";
import {
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
import { stopAttempt, tokenOf, voidUnanswered } from "./orders.ts";
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
  LISTING_HANDLED,
  type Session,
  WORKER_SETTLED,
} from "./session_state.ts";

/** Stops that have not ended after this are sent again, in milliseconds. */
const STOP_REPEAT_MS = 1_000;

/** The renewal that a listing answers. */
export interface ListedUnder {
  readonly token: number;
  readonly sentMs: number;
}

interface Listed {
  readonly context: ListedUnder;
  readonly listing: WorkerListing;
}

/** Takes what the worker lists. */
export function takeListing(
  update: Update,
  session: Session,
  { context, listing }: Listed,
): void {
  if (
    session.incarnation !== 0 && listing.incarnation !== session.incarnation
  ) {
    restarted(update, session, listing.incarnation);
    return;
  }
  if (session.incarnation === 0) {
    session.incarnation = listing.incarnation;
  }
  takeEnds(update, session, listing.ended);
  takeRunning(update, session, { context, listing });
  repeatStops(update, session);
  settle(update, session);
  update.dispatch(LISTING_HANDLED, { workerId: session.info.id });
}

/** Another life of the worker: nothing of before is left there. */
function restarted(
  update: Update,
  session: Session,
  incarnation: number,
): void {
  update.emit(logChange("Worker restarted", {
    worker: session.info.id,
    incarnation,
    attempts: session.attempts.size,
  }));
  vanishAll(update, session, "worker restarted");
  session.incarnation = incarnation;
  session.handled = 0;
  session.recorded = 0;
  session.pendingRecords.length = 0;
  session.leaseUntilMs = 0;
  session.answeredAddress = session.info.address;
  session.isSettled = false;
  recordSession(update, session);
  voidUnanswered(update, session);
}

function takeEnds(
  update: Update,
  session: Session,
  ended: readonly EndedAttempt[],
): void {
  const fresh = ended.filter(({ number }) => number > session.handled);
  if (fresh.length === 0) {
    return;
  }
  for (const { number, task, attempt, end, checkpoint } of fresh) {
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

/** Records how far the ends are handled, after what they changed. */
export function recordSession(update: Update, session: Session): void {
  const ticket = queueRecord(update, session, false);
  session.ticket ||= ticket;
  session.pendingRecords.push({ number: session.handled, ticket });
}

/**
 * Records that nothing runs on the worker, so that a successor doesn't wait
 * for its leases. Nothing is started there before it is recorded anew.
 */
export function recordIdle(update: Update, session: Session): void {
  session.isRecorded = false;
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

function takeRunning(
  update: Update,
  session: Session,
  { context, listing }: Listed,
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
  for (const [key, attempt] of [...session.attempts]) {
    const isOld = attempt.sinceMs < context.sentMs;
    if (listedKeys.has(key) || !isOld) {
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
      update.dispatch(ATTEMPT_VANISHED, { ...name, reason: "not listed" });
    }
  }
}

function repeatStops(update: Update, session: Session): void {
  for (const attempt of session.attempts.values()) {
    if (
      attempt.phase === AttemptPhase.Stopping &&
      update.now - attempt.sinceMs >= STOP_REPEAT_MS
    ) {
      voidUnanswered(update, session);
      stopAttempt(update, {
        workerId: session.info.id,
        task: attempt.task,
        attempt: attempt.attempt,
      });
    }
  }
}

/** Gives up everything that may run on the worker. */
export function vanishAll(
  update: Update,
  session: Session,
  reason: string,
): void {
  const gone = [...session.attempts.values()];
  session.attempts.clear();
  for (const { task, attempt } of gone) {
    update.dispatch(ATTEMPT_VANISHED, {
      workerId: session.info.id,
      task,
      attempt,
      reason,
    });
  }
}

/** Notes that what runs on the worker is known. */
export function settle(update: Update, session: Session): void {
  session.isInherited = false;
  if (!session.isSettled) {
    session.isSettled = true;
    update.dispatch(WORKER_SETTLED, { workerId: session.info.id });
  }
}

/** Keeps the room of an attempt that was found on the worker. */
export function keepFound(
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
      token: tokenOf(update, session),
      phase: AttemptPhase.Running,
      sinceMs: update.now,
      isForeign: size === undefined,
    });
  }
}
