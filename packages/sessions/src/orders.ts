import { createCommand, type Update } from "@mustardweir/kernel";
import type { Resources } from "@mustardweir/model";
import {
  type AttemptName,
  count,
  EffectKind,
  type EffectReply,
  logChange,
  nodeEffect,
  OrderKind,
  OrderOutcome,
  type OrderResult,
  replyTo,
  type WorkerOrder,
} from "@mustardweir/protocol";
import { leaseEnd, noteClock } from "./leases.ts";
import {
  ATTEMPT_REFUSED,
  ATTEMPT_RUNNING,
  attemptKey,
  AttemptPhase,
  findSession,
  FIRST_MOMENTS_MS,
  markChanged,
  type PlacedAttempt,
  type PreviousAttempt,
  type Session,
  type SessionAttempt,
  SESSIONS,
} from "./session_state.ts";

/**
 * Time that a worker has to reply to an order, in milliseconds. If it replies
 * too late, its next listing shows what became of the order.
 */
const ORDER_TIMEOUT_MS = 250;
/**
 * Maximum number of rounds in an epoch; a token is the epoch times this plus
 * the round.
 */
const ROUNDS_PER_EPOCH = 2 ** 24;
/** Token of attempts of which no order needs to be invalidated. */
const NO_TOKEN = 0;

/** Context of an order, returned with the reply. */
export interface OrderContext extends PlacedAttempt {
  readonly epoch: number;
  readonly kind: OrderKind;
  readonly token: number;
  readonly sentMs: number;
  readonly leaseUntilMs: number | undefined;
}

/** Dispatched when a start or stop has been replied to. */
export const ORDER_ANSWERED = createCommand<
  EffectReply<OrderContext, OrderResult>
>("order-answered");

/** Dispatched when a worker reports a token above all tokens of this owner. */
export const OWNER_FENCED = createCommand<{ readonly workerId: string }>(
  "owner-fenced",
);

/** Parameters of the start of an attempt. */
export interface StartOptions extends PlacedAttempt {
  readonly size: Resources;
  readonly payload: string;
  readonly checkpoint?: string;
  readonly permit?: string;
  /**
   * Time for which the order may lie on this node's link before it is on its
   * way, in milliseconds; 0 by default.
   */
  readonly linkDelayMs?: number;
  /** The task's attempt before; absent for none, and only logged. */
  readonly previous?: PreviousAttempt;
}

/** Returns the token that orders to the worker carry now. */
export function currentToken(
  update: Update,
  session: Readonly<Session>,
): number {
  return update.read(SESSIONS).epoch * ROUNDS_PER_EPOCH + session.round;
}

/** Reserves resources on the worker and orders it to start the attempt. */
export function startAttempt(update: Update, options: StartOptions): void {
  const session = findSession(update, options.workerId);
  const leaseUntilMs = session && leaseEnd(session, update.now);
  if (session === undefined || leaseUntilMs === undefined) {
    return;
  }
  const { workerId, task, attempt, size, payload, checkpoint, permit } =
    options;
  const { previous } = options;
  overtakeAcknowledgement(update, session);
  const token = currentToken(update, session);
  session.leaseUntilMs = Math.max(session.leaseUntilMs, leaseUntilMs);
  session.nextRenewalMs = Math.min(
    session.nextRenewalMs,
    update.now + FIRST_MOMENTS_MS,
  );
  markChanged(update, workerId);
  session.attempts.set(attemptKey(options), {
    task,
    attempt,
    size,
    token,
    phase: AttemptPhase.Starting,
    sinceMs: update.now,
    startedMs: update.now,
    incarnation: 0,
    isForeign: false,
  });
  sendOrder(update, session, {
    kind: OrderKind.Start,
    task,
    attempt,
    token,
    payload,
    leaseUntilMs,
    ...(checkpoint ? { checkpoint } : {}),
    ...(permit === undefined ? {} : { permit }),
  }, ORDER_TIMEOUT_MS + Math.ceil(options.linkDelayMs ?? 0));
  update.emit(count("starts"));
  update.emit(logChange("Start ordered", {
    task,
    attempt,
    worker: workerId,
    resumes: checkpoint !== undefined && checkpoint !== "",
    ...(previous === undefined ? {} : {
      previous: previous.attempt ?? "unknown",
      because: previous.reason,
    }),
  }));
}

/**
 * Raises the token if an acknowledgement of ends may be under way, so that the
 * worker rejects it after this start. An incarnation that starts meanwhile would
 * take it for ends of its own that it hasn't listed.
 */
function overtakeAcknowledgement(update: Update, session: Session): void {
  if (session.acknowledgingToken === currentToken(update, session)) {
    session.round++;
  }
}

/**
 * Orders the worker to stop the attempt; its resources stay reserved until it
 * ends.
 */
export function stopAttempt(
  update: Update,
  { workerId, ...name }: PlacedAttempt,
): void {
  const session = findSession(update, workerId);
  const attempt = session?.attempts.get(attemptKey(name));
  if (session === undefined || attempt === undefined) {
    return;
  }
  markChanged(update, workerId);
  attempt.phase = AttemptPhase.Stopping;
  attempt.sinceMs = update.now;
  attempt.token = currentToken(update, session);
  sendOrder(update, session, {
    kind: OrderKind.Stop,
    task: name.task,
    attempt: name.attempt,
    token: attempt.token,
  });
  update.emit(count("stops"));
}

/** Handles the reply to a start or stop. */
export function handleOrderResult(
  update: Update,
  { context, result }: EffectReply<OrderContext, OrderResult>,
): void {
  const session = findSession(update, context.workerId);
  if (session === undefined || context.epoch !== update.read(SESSIONS).epoch) {
    return;
  }
  if (
    result.outcome === OrderOutcome.Fenced &&
    context.token >= currentToken(update, session)
  ) {
    update.dispatch(OWNER_FENCED, { workerId: context.workerId });
    return;
  }
  if (
    result.clockMs !== undefined &&
    result.outcome !== OrderOutcome.OtherIncarnation
  ) {
    noteClock(update, session, { ...context, workerMs: result.clockMs });
  }
  const attempt = session.attempts.get(attemptKey(context));
  if (attempt === undefined) {
    return;
  }
  if (context.kind === OrderKind.Stop) {
    handleStopResult(update, { session, attempt, outcome: result.outcome });
    return;
  }
  handleStartResult(update, { session, context, outcome: result.outcome });
}

/**
 * Handles the reply to a stop. A worker that has obeyed it takes no start of the
 * attempt any more, so the attempt has ended as soon as it isn't listed.
 */
function handleStopResult(
  update: Update,
  { session, attempt, outcome }: {
    readonly session: Session;
    readonly attempt: SessionAttempt;
    readonly outcome: OrderOutcome;
  },
): void {
  if (outcome === OrderOutcome.Obeyed) {
    attempt.token = NO_TOKEN;
    attempt.sinceMs = update.now;
  } else if (outcome === OrderOutcome.Fenced) {
    // A later order of this owner has overtaken it.
    stopAttempt(update, {
      workerId: session.info.id,
      ...attemptNameOf(attempt),
    });
  } else {
    session.nextRenewalMs = update.now;
  }
}

function handleStartResult(
  update: Update,
  { session, context, outcome }: {
    readonly session: Session;
    readonly context: OrderContext;
    readonly outcome: OrderOutcome;
  },
): void {
  const attempt = session.attempts.get(attemptKey(context))!;
  const { workerId, task } = context;
  if (outcome === OrderOutcome.Obeyed && attempt.incarnation === 0) {
    attempt.incarnation = session.clock?.incarnation ?? 0;
  }
  if (attempt.phase !== AttemptPhase.Starting) {
    return;
  }
  if (outcome === OrderOutcome.Obeyed) {
    attempt.phase = AttemptPhase.Running;
    attempt.sinceMs = update.now;
    session.heardMs = update.now;
    update.dispatch(ATTEMPT_RUNNING, { workerId, ...attemptNameOf(context) });
    return;
  }
  update.emit(count(`start-${outcome}`));
  update.emit(logChange("Start not taken", {
    task,
    attempt: context.attempt,
    worker: workerId,
    outcome,
  }));
  if (outcome === OrderOutcome.NoAnswer || outcome === OrderOutcome.Stale) {
    attempt.phase = AttemptPhase.Unknown;
    invalidateUnanswered(update, session);
    return;
  }
  session.attempts.delete(attemptKey(context));
  markChanged(update, workerId);
  if (outcome === OrderOutcome.OtherIncarnation) {
    invalidateUnanswered(update, session);
  }
  update.dispatch(ATTEMPT_REFUSED, {
    workerId,
    ...attemptNameOf(context),
    outcome,
  });
}

/**
 * Raises the token, so that orders sent so far can't take effect once the next
 * renewal is confirmed.
 */
export function invalidateUnanswered(update: Update, session: Session): void {
  session.round++;
  session.invalidatingToken = currentToken(update, session);
  session.nextRenewalMs = update.now;
}

function attemptNameOf({ task, attempt }: AttemptName): AttemptName {
  return { task, attempt };
}

function sendOrder(
  update: Update,
  { info }: Readonly<Session>,
  order: Exclude<WorkerOrder, { kind: OrderKind.Renew }>,
  timeoutMs: number = ORDER_TIMEOUT_MS,
): void {
  const { kind, task, attempt, token } = order;
  update.emit(nodeEffect({
    kind: EffectKind.OrderWorker,
    workerId: info.id,
    address: info.address,
    order,
    timeoutMs,
    replyTo: replyTo(ORDER_ANSWERED, {
      workerId: info.id,
      epoch: update.read(SESSIONS).epoch,
      kind,
      task,
      attempt,
      token,
      sentMs: update.now,
      leaseUntilMs: order.kind === OrderKind.Start
        ? order.leaseUntilMs
        : undefined,
    }),
  }));
}
