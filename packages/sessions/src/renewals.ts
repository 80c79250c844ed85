import { createCommand, type Update } from "@mustardweir/kernel";
import { NO_RESOURCES } from "@mustardweir/model";
import {
  type Answered,
  count,
  EffectKind,
  type EndedAttempt,
  logChange,
  nodeEffect,
  OrderKind,
  OrderOutcome,
  type OrderResult,
  replyTo,
  type WorkerListing,
} from "@mustardweir/protocol";
import {
  recordKey,
  RecordKind,
  type SessionRecord,
} from "@mustardweir/replica";
import { queueChange } from "@mustardweir/tenure";
import { isLapsed, leaseEnd } from "./leases.ts";
import {
  ORDER_TIMEOUT_MS,
  OWNER_FENCED,
  stopAttempt,
  tokenOf,
  voidUnanswered,
} from "./orders.ts";
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
  SESSIONS,
  WORKER_SETTLED,
} from "./session_state.ts";

/** Longest wait of a renewal for an end, in milliseconds. */
const WAIT_MS = 800;
/** Pause between renewals of a worker that runs nothing, in milliseconds. */
const IDLE_RENEWAL_MS = 1_000;
/** Ends that wait so long for their record don't hold a renewal back. */
const RECORD_PATIENCE_MS = 400;
/** Stops that have not ended after this are sent again, in milliseconds. */
const STOP_REPEAT_MS = 1_000;

/** What a renewal was sent with. */
interface RenewalContext {
  readonly workerId: string;
  readonly epoch: number;
  readonly renewal: number;
  readonly token: number;
  readonly sentMs: number;
  readonly incarnation: number;
}

/** A renewal has been answered. */
export const RENEWAL_ANSWERED = createCommand<
  Answered<RenewalContext, OrderResult>
>("renewal-answered");

let lastRenewal = 0;

/** Renews the worker's lease when it is time. */
export function considerRenewal(
  update: Update,
  session: Session,
  mayExtend: boolean,
): void {
  // A renewal with an older token doesn't void what a newer one must.
  const isUnderWay = session.renewal !== 0 &&
    session.renewalToken === tokenOf(update, session);
  if (isUnderWay || update.now < session.nextRenewalMs) {
    return;
  }
  const waitsForRecord = session.recorded < session.handled;
  if (
    waitsForRecord && update.now - session.answeredMs < RECORD_PATIENCE_MS &&
    session.missed === 0
  ) {
    return;
  }
  // Renewals without an answer may be carried out, so a worker that doesn't
  // answer is only asked for its lists: its lease has to come to an end.
  const leaseUntilMs = mayExtend && session.missed === 0
    ? leaseEnd(session, update.now)
    : undefined;
  const isQuick = waitsForRecord || leaseUntilMs === undefined ||
    session.missed > 0 || session.attempts.size === 0 ||
    hasUnknown(session);
  const waitMs = isQuick ? 0 : WAIT_MS;
  if (leaseUntilMs !== undefined) {
    session.leaseUntilMs = Math.max(session.leaseUntilMs, leaseUntilMs);
  }
  session.renewal = ++lastRenewal;
  const token = tokenOf(update, session);
  session.renewalToken = token;
  update.emit(nodeEffect({
    kind: EffectKind.OrderWorker,
    workerId: session.info.id,
    address: session.info.address,
    order: {
      kind: OrderKind.Renew,
      token,
      acknowledged: session.recorded,
      ...(leaseUntilMs === undefined ? {} : { leaseUntilMs }),
      waitMs,
    },
    timeoutMs: waitMs + ORDER_TIMEOUT_MS,
    replyTo: replyTo(RENEWAL_ANSWERED, {
      workerId: session.info.id,
      epoch: update.read(SESSIONS).epoch,
      renewal: session.renewal,
      token,
      sentMs: update.now,
      incarnation: session.incarnation,
    }),
  }));
}

/** Takes the answer to a renewal. */
export function renewalAnswered(
  update: Update,
  { context, result }: Answered<RenewalContext, OrderResult>,
): void {
  const session = findSession(update, context.workerId);
  if (
    session?.renewal !== context.renewal ||
    context.epoch !== update.read(SESSIONS).epoch
  ) {
    return;
  }
  session.renewal = 0;
  if (
    result.outcome === OrderOutcome.Fenced &&
    context.token >= tokenOf(update, session)
  ) {
    update.dispatch(OWNER_FENCED, { workerId: context.workerId });
    return;
  }
  const { listing, clockMs } = result;
  if (result.outcome !== OrderOutcome.Obeyed || listing === undefined) {
    missed(update, session, result.outcome);
    return;
  }
  if (session.missed > 0) {
    update.emit(logChange("Worker answers again", {
      worker: context.workerId,
      missed: session.missed,
    }));
  }
  session.missed = 0;
  session.answeredMs = update.now;
  if (clockMs !== undefined) {
    session.clock = { workerMs: clockMs, atMs: update.now };
  }
  session.nextRenewalMs = session.attempts.size === 0 && session.isSettled
    ? update.now + IDLE_RENEWAL_MS
    : update.now;
  takeListing(update, session, { context, listing });
}

/** Gives up what may run on a worker whose leases are over. */
export function considerLapse(update: Update, session: Session): void {
  const isSilent = session.missed > 0 || session.clock === undefined;
  if (!isSilent || !isLapsed(session, update.now)) {
    return;
  }
  if (session.attempts.size > 0 || !session.isSettled) {
    update.emit(logChange("Leases are over", {
      worker: session.info.id,
      attempts: session.attempts.size,
      silentMs: Math.round(update.now - session.answeredMs),
    }));
  }
  vanishAll(update, session, "lease over");
  settle(update, session);
}

function missed(
  update: Update,
  session: Session,
  outcome: OrderOutcome,
): void {
  session.missed++;
  update.emit(count("renewals-missed"));
  if (session.missed === 1) {
    update.emit(logChange("Worker doesn't answer", {
      worker: session.info.id,
      outcome,
      attempts: session.attempts.size,
    }));
  }
  voidUnanswered(update, session);
  session.nextRenewalMs = update.now +
    Math.min(100 * session.missed, IDLE_RENEWAL_MS);
}

interface Listed {
  readonly context: RenewalContext;
  readonly listing: WorkerListing;
}

function takeListing(
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
  const record: SessionRecord = {
    address: session.info.address,
    pool: session.info.pool,
    incarnation: session.incarnation,
    recorded: session.handled,
  };
  const ticket = queueChange(
    update,
    recordKey(RecordKind.Session, session.info.id),
    JSON.stringify(record),
  );
  session.ticket ||= ticket;
  session.pendingRecords.push({ number: session.handled, ticket });
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

function vanishAll(update: Update, session: Session, reason: string): void {
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

function settle(update: Update, session: Session): void {
  session.isInherited = false;
  if (!session.isSettled) {
    session.isSettled = true;
    update.dispatch(WORKER_SETTLED, { workerId: session.info.id });
  }
}

function hasUnknown(session: Readonly<Session>): boolean {
  for (const { phase } of session.attempts.values()) {
    if (phase === AttemptPhase.Unknown) {
      return true;
    }
  }
  return false;
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
