import { createCommand, type Update } from "@mustardweir/kernel";
import type { Resources } from "@mustardweir/model";
import {
  type Answered,
  type AttemptName,
  count,
  EffectKind,
  logChange,
  nodeEffect,
  OrderKind,
  OrderOutcome,
  type OrderResult,
  replyTo,
  type WorkerOrder,
} from "@mustardweir/protocol";
import { leaseEnd } from "./leases.ts";
import {
  ATTEMPT_REFUSED,
  ATTEMPT_RUNNING,
  attemptKey,
  AttemptPhase,
  findSession,
  type PlacedAttempt,
  type Session,
  SESSIONS,
} from "./session_state.ts";

/**
 * Time that a worker has to answer an order, in milliseconds. Its lists tell
 * what came of an order that was given up too soon.
 */
const ORDER_TIMEOUT_MS = 250;
/** Rounds of one epoch; the token is epoch times this plus the round. */
const ROUNDS_PER_EPOCH = 2 ** 24;

/** What an order was about. */
export interface OrderContext extends PlacedAttempt {
  readonly epoch: number;
  readonly kind: OrderKind;
  readonly token: number;
}

/** A start or stop has been answered. */
export const ORDER_ANSWERED = createCommand<
  Answered<OrderContext, OrderResult>
>("order-answered");

/** A worker knows a token above all of this owner's. */
export const OWNER_FENCED = createCommand<{ readonly workerId: string }>(
  "owner-fenced",
);

/** What is needed to start an attempt. */
export interface StartOptions extends PlacedAttempt {
  readonly size: Resources;
  readonly payload: string;
  readonly checkpoint?: string;
  readonly permit?: string;
}

/** The token that orders to the worker carry now. */
export function tokenOf(update: Update, session: Readonly<Session>): number {
  return update.read(SESSIONS).epoch * ROUNDS_PER_EPOCH + session.round;
}

/** Takes room on the worker and orders it to start the attempt. */
export function startAttempt(update: Update, options: StartOptions): void {
  const session = findSession(update, options.workerId);
  const leaseUntilMs = session && leaseEnd(session, update.now);
  if (session === undefined || leaseUntilMs === undefined) {
    return;
  }
  const { workerId, task, attempt, size, payload, checkpoint, permit } =
    options;
  const token = tokenOf(update, session);
  session.leaseUntilMs = Math.max(session.leaseUntilMs, leaseUntilMs);
  session.attempts.set(attemptKey(options), {
    task,
    attempt,
    size,
    token,
    phase: AttemptPhase.Starting,
    sinceMs: update.now,
    isForeign: false,
  });
  send(update, session, {
    kind: OrderKind.Start,
    task,
    attempt,
    token,
    payload,
    leaseUntilMs,
    ...(checkpoint ? { checkpoint } : {}),
    ...(permit === undefined ? {} : { permit }),
  });
  update.emit(count("starts"));
  update.emit(logChange("Start ordered", {
    task,
    attempt,
    worker: workerId,
    resumes: checkpoint !== undefined && checkpoint !== "",
  }));
}

/** Orders the worker to stop the attempt; its room stays taken until it ends. */
export function stopAttempt(
  update: Update,
  { workerId, ...name }: PlacedAttempt,
): void {
  const session = findSession(update, workerId);
  const attempt = session?.attempts.get(attemptKey(name));
  if (session === undefined || attempt === undefined) {
    return;
  }
  attempt.phase = AttemptPhase.Stopping;
  attempt.sinceMs = update.now;
  attempt.token = tokenOf(update, session);
  send(update, session, {
    kind: OrderKind.Stop,
    task: name.task,
    attempt: name.attempt,
    token: attempt.token,
  });
  update.emit(count("stops"));
}

/** Takes the answer to a start or stop. */
export function orderAnswered(
  update: Update,
  { context, result }: Answered<OrderContext, OrderResult>,
): void {
  const session = findSession(update, context.workerId);
  if (session === undefined || context.epoch !== update.read(SESSIONS).epoch) {
    return;
  }
  if (
    result.outcome === OrderOutcome.Fenced &&
    context.token >= tokenOf(update, session)
  ) {
    update.dispatch(OWNER_FENCED, { workerId: context.workerId });
    return;
  }
  const attempt = session.attempts.get(attemptKey(context));
  if (attempt === undefined) {
    return;
  }
  if (context.kind === OrderKind.Stop) {
    if (result.outcome !== OrderOutcome.Obeyed) {
      session.nextRenewalMs = update.now;
    }
    return;
  }
  startAnswered(update, { session, context, outcome: result.outcome });
}

function startAnswered(
  update: Update,
  { session, context, outcome }: {
    readonly session: Session;
    readonly context: OrderContext;
    readonly outcome: OrderOutcome;
  },
): void {
  const attempt = session.attempts.get(attemptKey(context))!;
  const { workerId, task } = context;
  if (attempt.phase !== AttemptPhase.Starting) {
    return;
  }
  if (outcome === OrderOutcome.Obeyed) {
    attempt.phase = AttemptPhase.Running;
    attempt.sinceMs = update.now;
    update.dispatch(ATTEMPT_RUNNING, { workerId, ...nameOf(context) });
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
    voidUnanswered(update, session);
    return;
  }
  session.attempts.delete(attemptKey(context));
  if (outcome === OrderOutcome.OtherIncarnation) {
    voidUnanswered(update, session);
  }
  update.dispatch(ATTEMPT_REFUSED, {
    workerId,
    ...nameOf(context),
    outcome,
  });
}

/** Orders sent so far can't take effect once the next renewal is answered. */
export function voidUnanswered(update: Update, session: Session): void {
  session.round++;
  session.nextRenewalMs = update.now;
}

function nameOf({ task, attempt }: AttemptName): AttemptName {
  return { task, attempt };
}

function send(
  update: Update,
  { info }: Readonly<Session>,
  order: Exclude<WorkerOrder, { kind: OrderKind.Renew }>,
): void {
  const { kind, task, attempt, token } = order;
  update.emit(nodeEffect({
    kind: EffectKind.OrderWorker,
    workerId: info.id,
    address: info.address,
    order,
    timeoutMs: ORDER_TIMEOUT_MS,
    replyTo: replyTo(ORDER_ANSWERED, {
      workerId: info.id,
      epoch: update.read(SESSIONS).epoch,
      kind,
      task,
      attempt,
      token,
    }),
  }));
}
