import { createCommand, type Update } from "@mustardweir/kernel";
import {
  type Answered,
  count,
  EffectKind,
  logChange,
  nodeEffect,
  OrderKind,
  OrderOutcome,
  type OrderResult,
  replyTo,
} from "@mustardweir/protocol";
import { isLapsed, leaseEnd } from "./leases.ts";
import { settle, takeListing, vanishAll } from "./listings.ts";
import { OWNER_FENCED, tokenOf, voidUnanswered } from "./orders.ts";
import {
  AttemptPhase,
  findSession,
  type Session,
  SESSIONS,
} from "./session_state.ts";

/** Longest wait of a renewal for an end, in milliseconds. */
const WAIT_MS = 800;
/** Time that a worker has to answer beyond that, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;
/** Pause between renewals of a worker that runs nothing, in milliseconds. */
const IDLE_RENEWAL_MS = 1_000;
/**
 * Ends that wait so long for their record don't hold a renewal back, in
 * milliseconds; several times a commit of a store that is well.
 */
const RECORD_PATIENCE_MS = 60;

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
  session.renewal = ++update.write(SESSIONS).lastRenewal;
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
    timeoutMs: waitMs + ANSWER_TIMEOUT_MS,
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
    if (isReplaced(session, result.outcome)) {
      gone(update, session);
    }
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
  session.answeredAddress = session.info.address;
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

/** A life keeps its address, so one that another worker has now is over. */
function isReplaced(
  { info, answeredAddress }: Readonly<Session>,
  outcome: OrderOutcome,
): boolean {
  return outcome === OrderOutcome.OtherIncarnation &&
    answeredAddress === info.address;
}

function gone(update: Update, session: Session): void {
  if (session.attempts.size > 0 || !session.isSettled) {
    update.emit(logChange("Worker replaced at its address", {
      worker: session.info.id,
      attempts: session.attempts.size,
    }));
  }
  vanishAll(update, session, "another worker at its address");
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

function hasUnknown(session: Readonly<Session>): boolean {
  for (const { phase } of session.attempts.values()) {
    if (phase === AttemptPhase.Unknown) {
      return true;
    }
  }
  return false;
}
