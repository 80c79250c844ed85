import { createStateKey, type Update } from "@mustardweir/kernel";
import type { ConfigurationSection, Refusal } from "@mustardweir/model";
import {
  type AnswerCallerEffect,
  type CallerAnswer,
  CallerAnswerKind,
  count,
  EffectKind,
  type HomeCallBody,
  observe,
} from "@mustardweir/protocol";
import type { InventorySummary } from "./feasibility.ts";
import type { KeyRing } from "./key_ring.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** A call that waits for the reply of a team's home. */
export interface PendingCall {
  readonly callId: string;
  readonly requestId: string;
  readonly team: string;
  readonly keyId: string;
  readonly call: HomeCallBody;
  readonly arrivedAt: number;
  readonly expiresAt: number;
  /** The node to which it was last sent. */
  sentTo?: string;
  /** The node to send it to next, set when `sentTo` doesn't own the home. */
  nextNodeId?: string;
  /** Epoch of the newest owner to which it was sent; 0 before. */
  ownerEpoch: number;
  /** Number of times that it was sent. */
  sends: number;
  /** Number of consecutive redirects that were followed without a delay. */
  redirects: number;
  /** Time at which it is sent again unless a reply arrives. */
  resendAt: number;
}

/** The log fields of an edit; they never contain a key or a body. */
export interface AuditedEdit {
  /** Id of the key that the operator presented. */
  readonly keyId: string;
  readonly section: ConfigurationSection;
  readonly change: string;
}

/** State of the admission plug-in. */
export interface AdmissionState {
  keys: KeyRing;
  fleet: InventorySummary;
  nextCall: number;
  readonly pending: Map<string, PendingCall>;
  /** Ids of pending calls, by request id. */
  readonly byRequest: Map<string, string>;
  /** Number of pending calls, by team. */
  readonly pendingOfTeam: Map<string, number>;
  /** Retry budgets, by team. */
  readonly budgets: Map<string, RetryBudget>;
  /** Configuration edits in progress, by request id. */
  readonly edits: Map<string, AuditedEdit>;
  /** Ids of requests whose burn report is being collected. */
  readonly reports: Set<string>;
  isStopping: boolean;
  /** Whether the stop has been reported as complete. */
  isStopped: boolean;
}

export const ADMISSION = createStateKey<AdmissionState>("admission");

/** Adds a call to the pending calls. */
export function addPending(state: AdmissionState, call: PendingCall): void {
  state.pending.set(call.callId, call);
  state.byRequest.set(call.requestId, call.callId);
  adjustTeamCount(state, call.team, 1);
}

/** Removes a call from the pending calls. */
export function removePending(state: AdmissionState, call: PendingCall): void {
  state.pending.delete(call.callId);
  state.byRequest.delete(call.requestId);
  adjustTeamCount(state, call.team, -1);
}

/** Answers a caller and counts refusals by reason. */
export function answerCaller(
  requestId: string,
  answer: CallerAnswer,
  update: Update,
): void {
  const effect: AnswerCallerEffect = {
    kind: EffectKind.AnswerCaller,
    requestId,
    answer,
  };
  update.emit(effect);
  if (answer.kind === CallerAnswerKind.Refused) {
    update.emit(count(`calls_refused_${answer.refusal.reason}`));
  }
}

/** Refuses a caller's call. */
export function refuseCaller(
  requestId: string,
  refusal: Refusal,
  update: Update,
): void {
  const kind = CallerAnswerKind.Refused;
  answerCaller(requestId, { kind, refusal }, update);
}

/** Answers a pending call and removes it. */
export function answerPending(
  call: PendingCall,
  answer: CallerAnswer,
  update: Update,
): void {
  removePending(update.write(ADMISSION), call);
  update.emit(observe("home_call_ms", update.now - call.arrivedAt));
  answerCaller(call.requestId, answer, update);
}

function adjustTeamCount(
  state: AdmissionState,
  team: string,
  by: number,
): void {
  const pending = (state.pendingOfTeam.get(team) ?? 0) + by;
  if (pending > 0) {
    state.pendingOfTeam.set(team, pending);
  } else {
    state.pendingOfTeam.delete(team);
  }
}
