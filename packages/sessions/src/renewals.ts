import { createCommand, type Update } from "@mustardweir/kernel";
import {
  count,
  EffectKind,
  type EffectReply,
  gauge,
  logChange,
  NODE_IDENTITY,
  nodeEffect,
  OrderKind,
  OrderOutcome,
  type OrderResult,
  replyTo,
} from "@mustardweir/protocol";
import { areStartsAttributed } from "./incarnations.ts";
import {
  areLeasesExpired,
  evidenceFields,
  isUnreadable,
  leaseEnd,
  leaseEvidence,
  noteClock,
} from "./leases.ts";
import {
  confirmRestart,
  handleListing,
  listFresh,
  markReconciled,
  reportAllVanished,
  reportCrashed,
} from "./listings.ts";
import {
  MAX_GAP_MS,
  PacedByEnds,
  type RenewalPacing,
} from "./renewal_pacing.ts";
import { currentToken, invalidateUnanswered, OWNER_FENCED } from "./orders.ts";
import {
  AttemptPhase,
  endInheritance,
  findSession,
  FIRST_MOMENTS_MS,
  isFresh,
  LossCause,
  markChanged,
  type Session,
  SESSIONS,
  WORKER_RECONCILED,
} from "./session_state.ts";

/**
 * Longest time for which a worker holds a renewal open until an attempt ends,
 * in milliseconds.
 */
const MAX_RENEWAL_WAIT_MS = 800;
/** Time that a worker has to reply beyond that, in milliseconds. */
const RENEWAL_REPLY_TIMEOUT_MS = 400;
/** Interval between renewals of a worker that runs nothing, in milliseconds. */
const IDLE_RENEWAL_MS = 1_000;
/**
 * Longest time for which a renewal is held back until handled ends can be
 * acknowledged, in milliseconds; several times the duration of a commit of a
 * healthy store.
 */
const MAX_ACKNOWLEDGE_WAIT_MS = 60;

const PACING: RenewalPacing = new PacedByEnds();

/** Context of a renewal, returned with the reply. */
interface RenewalContext {
  readonly workerId: string;
  readonly epoch: number;
  readonly renewal: number;
  readonly token: number;
  readonly sentMs: number;
  readonly acknowledged: number;
  readonly leaseUntilMs: number | undefined;
}

/** Dispatched when a renewal has been replied to. */
export const RENEWAL_ANSWERED = createCommand<
  EffectReply<RenewalContext, OrderResult>
>("renewal-answered");

/** Sends a renewal of the worker's lease if one is due. */
export function renewIfDue(
  update: Update,
  session: Session,
  mayExtend: boolean,
): void {
  // A renewal in flight with a lower token doesn't invalidate the latest orders
  // that got no reply.
  const isInFlight = session.renewal !== 0 &&
    session.renewalToken >= session.invalidatingToken;
  if (isInFlight || update.now < session.nextRenewalMs) {
    return;
  }
  const acknowledged = mayAcknowledge(session) ? session.recorded : 0;
  const leavesEnds = session.clock !== undefined &&
    session.handled > Math.max(acknowledged, session.acknowledged);
  if (
    leavesEnds && update.now - session.answeredMs < MAX_ACKNOWLEDGE_WAIT_MS &&
    session.missed === 0
  ) {
    return;
  }
  if (isPaced(update, session)) {
    return;
  }
  // A renewal without a reply may still take effect, so a silent worker is only
  // asked for its listing: renewing its lease would keep it from expiring.
  const mayRenew = mayExtend && session.missed === 0 &&
    !isUnreadable(session, update.now);
  const leaseUntilMs = mayRenew ? leaseEnd(session, update.now) : undefined;
  const isImmediate = leavesEnds || leaseUntilMs === undefined ||
    session.missed > 0 || session.attempts.size === 0 || isUnclear(session);
  const waitMs = isImmediate ? 0 : renewalWaitMs(session, update.now);
  if (leaseUntilMs !== undefined) {
    session.leaseUntilMs = Math.max(session.leaseUntilMs, leaseUntilMs);
  }
  session.renewal = ++update.write(SESSIONS).lastRenewalId;
  const token = currentToken(update, session);
  session.renewalToken = token;
  if (acknowledged > 0) {
    session.acknowledgingToken = token;
  }
  update.emit(nodeEffect({
    kind: EffectKind.OrderWorker,
    workerId: session.info.id,
    address: session.info.address,
    order: {
      kind: OrderKind.Renew,
      token,
      acknowledged,
      ...(leaseUntilMs === undefined ? {} : { leaseUntilMs }),
      waitMs,
    },
    timeoutMs: waitMs + RENEWAL_REPLY_TIMEOUT_MS,
    replyTo: replyTo(RENEWAL_ANSWERED, {
      workerId: session.info.id,
      epoch: update.read(SESSIONS).epoch,
      renewal: session.renewal,
      token,
      sentMs: update.now,
      acknowledged,
      leaseUntilMs,
    }),
  }));
}

/** Returns whether the worker has replied too recently to be asked again. */
function isPaced(update: Update, session: Readonly<Session>): boolean {
  const sinceMs = update.now - session.answeredMs;
  return sinceMs < MAX_GAP_MS && session.missed === 0 &&
    session.attempts.size > 0 && !isUnclear(session) &&
    sinceMs < renewalGapMs(update);
}

/** Returns the shortest time from a reply to the next renewal, in ms. */
function renewalGapMs(update: Update): number {
  return PACING.gapMs({
    endsPerS: update.read(SESSIONS).endRate.perS(update.now),
    cores: update.service(NODE_IDENTITY).cores,
  });
}

/** Shows the pace of renewals. */
export function emitRenewalGauges(update: Update): void {
  update.emit(gauge("renewal-gap-ms", renewalGapMs(update)));
}

/** Handles the reply to a renewal. */
export function handleRenewalResult(
  update: Update,
  { context, result }: EffectReply<RenewalContext, OrderResult>,
): void {
  const session = findSession(update, context.workerId);
  if (
    session?.renewal !== context.renewal ||
    context.epoch !== update.read(SESSIONS).epoch
  ) {
    return;
  }
  session.renewal = 0;
  if (result.outcome === OrderOutcome.Fenced) {
    if (context.token >= currentToken(update, session)) {
      update.dispatch(OWNER_FENCED, { workerId: context.workerId });
    } else {
      // A later order of this owner has overtaken it.
      session.nextRenewalMs = update.now;
    }
    return;
  }
  const { listing, clockMs } = result;
  if (result.outcome !== OrderOutcome.Obeyed || listing === undefined) {
    if (isReplaced(session, result.outcome)) {
      handleWorkerReplaced(update, session);
    }
    handleMissedRenewal(update, session, result.outcome);
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
  session.acknowledged = Math.max(session.acknowledged, context.acknowledged);
  if (session.acknowledgingToken <= context.token) {
    session.acknowledgingToken = 0;
  }
  if (clockMs !== undefined) {
    noteClock(update, session, { ...context, workerMs: clockMs, listing });
  }
  const ends = listing.ended.filter(({ number }) => number > session.handled);
  update.write(SESSIONS).endRate.add(ends.length, update.now);
  session.nextRenewalMs = session.attempts.size === 0 && session.isReconciled
    ? update.now + IDLE_RENEWAL_MS
    : update.now;
  handleListing(update, session, { context, listing });
  confirmRestart(update, session, context);
}

/**
 * Returns whether the worker may be told to discard ends. A new incarnation
 * numbers them anew and would discard ends that it has not listed, so they are
 * acknowledged only once, while no other incarnation can have executed a start;
 * later starts invalidate the acknowledgement.
 */
function mayAcknowledge(session: Readonly<Session>): boolean {
  const { clock, missed, recorded, acknowledged } = session;
  return clock !== undefined && missed === 0 && recorded > acknowledged &&
    areStartsAttributed(session);
}

/**
 * Gives up the attempts on a worker whose leases have expired, because it is
 * silent or its listings can't be read whole.
 */
export function giveUpExpiredAttempts(update: Update, session: Session): void {
  const isSilent = session.missed > 0 || session.clock === undefined;
  const hasNoLease = isSilent || isUnreadable(session, update.now);
  if (!hasNoLease || !areLeasesExpired(session, update.now)) {
    return;
  }
  const evidence = leaseEvidence(session, update.now);
  if (session.attempts.size > 0 || !session.isReconciled) {
    update.emit(logChange("Leases are over", {
      worker: session.info.id,
      attempts: session.attempts.size,
      silentMs: Math.round(update.now - session.answeredMs),
      inherited: session.isInherited,
      ...evidenceFields(evidence),
    }));
  }
  session.suspected = [...session.suspected, ...listFresh(session)];
  reportAllVanished(update, session, {
    reason: LossCause.LeaseExpired,
    ...(evidence === undefined ? {} : { evidence }),
  });
  if (isSilent) {
    markReconciled(update, session);
  } else {
    // Its capacity isn't known to be free before a listing can be read whole.
    endInheritance(update, session);
    markChanged(update, session.info.id);
    update.dispatch(WORKER_RECONCILED, { workerId: session.info.id });
  }
}

/**
 * Returns whether another worker replies at the address. An incarnation never
 * changes its address, so the previous one has ended.
 */
function isReplaced(
  { info, answeredAddress }: Readonly<Session>,
  outcome: OrderOutcome,
): boolean {
  return outcome === OrderOutcome.OtherIncarnation &&
    answeredAddress === info.address;
}

function handleWorkerReplaced(update: Update, session: Session): void {
  if (session.attempts.size > 0 || !session.isReconciled) {
    update.emit(logChange("Worker replaced at its address", {
      worker: session.info.id,
      attempts: session.attempts.size,
    }));
  }
  reportCrashed(update, session, LossCause.Replaced);
  markReconciled(update, session);
}

function handleMissedRenewal(
  update: Update,
  session: Session,
  outcome: OrderOutcome,
): void {
  session.missed++;
  markChanged(update, session.info.id);
  update.emit(count("renewals-missed"));
  if (session.missed === 1) {
    update.emit(logChange("Worker doesn't answer", {
      worker: session.info.id,
      outcome,
      attempts: session.attempts.size,
    }));
  }
  invalidateUnanswered(update, session);
  session.nextRenewalMs = update.now +
    Math.min(100 * session.missed, IDLE_RENEWAL_MS);
}

/**
 * Returns the time for which the worker may hold the renewal, in milliseconds:
 * it replies as soon as all its attempts have outlived their first moments. A
 * reply for each of them made up most renewals of a worker with several tasks.
 *
 * @example
 * ```ts
 * const waitMs = renewalWaitMs(session, update.now);
 * ```
 */
export function renewalWaitMs(
  session: Pick<Session, "attempts" | "heardMs">,
  now: number,
): number {
  let latestMs = -Infinity;
  for (const attempt of session.attempts.values()) {
    if (isFresh(session, attempt)) {
      latestMs = Math.max(latestMs, attempt.startedMs);
    }
  }
  return latestMs === -Infinity
    ? MAX_RENEWAL_WAIT_MS
    : Math.max(Math.ceil(latestMs + FIRST_MOMENTS_MS - now), 0);
}

/**
 * Returns whether a listing is wanted at once: to tell what became of an order,
 * or which incarnation has replied to one.
 */
function isUnclear(session: Readonly<Session>): boolean {
  if (session.isListingDue) {
    return true;
  }
  for (const { phase } of session.attempts.values()) {
    if (phase === AttemptPhase.Unknown) {
      return true;
    }
  }
  return false;
}
