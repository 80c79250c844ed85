import type { Update } from "@mustardweir/kernel";
import {
  alivePeers,
  homeUnit,
  type Owner,
  PEERS,
  resolveOwner,
} from "@mustardweir/membership";
import {
  Outcome,
  type Refusal,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import {
  CallerAnswerKind,
  count,
  HomeCallKind,
  type HomeReply,
  HomeReplyKind,
  PeerMessageKind,
  sendPeer,
} from "@mustardweir/protocol";
import {
  ADMISSION,
  answerPending,
  type PendingCall,
} from "./admission_state.ts";
import { RetryBudget } from "./retry_budget.ts";

/** Time without a reply after which a call is sent again, in milliseconds. */
export const RESEND_MS = 700;

/** Upper limit of the delay between two sends of a call, in milliseconds. */
export const MAX_RESEND_MS = 5_600;

/** Delay before a call is sent to another scheduler, in milliseconds. */
const REDIRECT_DELAY_MS = 200;

/** Number of consecutive redirects that are followed without a delay. */
const MAX_REDIRECTS = 3;

/** Sends a new call to the owner of the team's home if it has one. */
export function routeCall(call: PendingCall, update: Update): void {
  retryBudgetOf(call.team, update).earn();
  const owner = resolveOwner(update, homeUnit(call.team));
  if (owner) {
    sendToOwner(call, owner, update);
  }
}

/** Resends the pending calls that are due and refuses the expired ones. */
export function advancePending(update: Update): void {
  const owners = new Map<string, Owner | undefined>();
  for (const call of [...update.read(ADMISSION).pending.values()]) {
    if (update.now >= call.expiresAt) {
      expire(call, update);
      continue;
    }
    if (!owners.has(call.team)) {
      owners.set(call.team, resolveOwner(update, homeUnit(call.team)));
    }
    resendIfDue(call, owners.get(call.team), update);
  }
}

/** Handles a home's reply; all but the first one to a call are ignored. */
export function handleHomeReply(
  from: string,
  { callId, reply }: HomeReply,
  update: Update,
): void {
  const call = update.write(ADMISSION).pending.get(callId);
  if (!call) {
    update.emit(count("home_replies_ignored"));
    return;
  }
  switch (reply.kind) {
    case HomeReplyKind.Status:
      return answerPending(
        call,
        { kind: CallerAnswerKind.Job, status: reply.status },
        update,
      );
    case HomeReplyKind.List:
      return answerPending(
        call,
        { kind: CallerAnswerKind.Jobs, jobs: reply.jobs },
        update,
      );
    case HomeReplyKind.Refused:
      return handleRefusal(call, reply.refusal, update);
    case HomeReplyKind.NotOwner:
      return redirect(call, { from, hint: reply.owner }, update);
  }
}

function resendIfDue(
  call: PendingCall,
  owner: Owner | undefined,
  update: Update,
): void {
  if (owner && owner.epoch > call.ownerEpoch) {
    sendToOwner(call, owner, update);
    return;
  }
  const isDue = call.sends > 0 && update.now >= call.resendAt;
  if (!isDue || !retryBudgetOf(call.team, update).take(update.now)) {
    return;
  }
  update.emit(count("home_calls_resent"));
  send(call, call.nextNodeId ?? owner?.nodeId ?? call.sentTo ?? "", update);
}

function sendToOwner(call: PendingCall, owner: Owner, update: Update): void {
  call.ownerEpoch = owner.epoch;
  call.redirects = 0;
  send(call, owner.nodeId, update);
}

function send(call: PendingCall, to: string, update: Update): void {
  const delay = Math.min(RESEND_MS * 2 ** call.sends, MAX_RESEND_MS);
  call.sentTo = to;
  call.nextNodeId = undefined;
  call.sends += 1;
  call.resendAt = update.now + delay;
  update.emit(sendPeer(to, {
    kind: PeerMessageKind.HomeCall,
    callId: call.callId,
    team: call.team,
    keyId: call.keyId,
    ttlMs: Math.max(1, Math.floor(call.expiresAt - update.now)),
    call: call.call,
  }));
}

function redirect(
  call: PendingCall,
  answer: { readonly from: string; readonly hint?: string },
  update: Update,
): void {
  if (answer.from !== call.sentTo) {
    return;
  }
  const { hint } = answer;
  const isNewHint = hint !== undefined && hint !== call.sentTo;
  if (isNewHint && call.redirects < MAX_REDIRECTS) {
    call.redirects += 1;
    send(call, hint, update);
    return;
  }
  call.nextNodeId = isNewHint ? hint : nextScheduler(answer.from, update);
  call.redirects = 0;
  call.resendAt = update.now + REDIRECT_DELAY_MS;
}

/**
 * Returns the next live scheduler after `nodeId` in the order of node ids;
 * `nodeId` if there is no other.
 */
function nextScheduler(nodeId: string, update: Update): string {
  const nodeIds = alivePeers(update.read(PEERS), update.now)
    .filter(({ heartbeat }) => !heartbeat.stopping)
    .map(({ heartbeat }) => heartbeat.nodeId)
    .sort();
  return nodeIds.find((id) => id > nodeId) ?? nodeIds[0] ?? nodeId;
}

/**
 * Handles a refusal. A retryable refusal with the outcome "not run" is passed
 * on to the caller only if no other copy of the call can have been accepted.
 */
function handleRefusal(
  call: PendingCall,
  refusal: Refusal,
  update: Update,
): void {
  const mayHaveRun = changesWork(call) && call.sends > 1;
  const isNotRun = refusal.outcome === Outcome.NotRun;
  if (mayHaveRun && isNotRun && refusal.retryable) {
    call.resendAt = update.now + RESEND_MS;
    return;
  }
  answerPending(call, { kind: CallerAnswerKind.Refused, refusal }, update);
}

function expire(call: PendingCall, update: Update): void {
  const refusal = call.sends === 0
    ? refuse(RefusalReason.NoHome, {
      message: `No scheduler currently owns the home of ${call.team}`,
    })
    : refuse(RefusalReason.DeadlinePassed, {
      message: expiryMessage(call),
      outcome: changesWork(call) ? Outcome.Unknown : Outcome.NotRun,
    });
  answerPending(call, { kind: CallerAnswerKind.Refused, refusal }, update);
}

function expiryMessage(call: PendingCall): string {
  return call.call.kind === HomeCallKind.Submit
    ? "No answer arrived in time; the job may have been accepted: send it again with the same idempotency key"
    : "No answer arrived in time";
}

function changesWork(call: PendingCall): boolean {
  const { kind } = call.call;
  return kind === HomeCallKind.Submit || kind === HomeCallKind.Cancel;
}

function retryBudgetOf(team: string, update: Update): RetryBudget {
  const { budgets } = update.write(ADMISSION);
  const known = budgets.get(team);
  if (known) {
    return known;
  }
  const budget = new RetryBudget(update.now);
  budgets.set(team, budget);
  return budget;
}
