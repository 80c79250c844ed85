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
import type { FleetShape } from "./fleet_shape.ts";
import type { KeyRing } from "./key_ring.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** A call that waits for the answer of a team's home. */
export interface PendingCall {
  readonly callId: string;
  readonly requestId: string;
  readonly team: string;
  readonly keyId: string;
  readonly call: HomeCallBody;
  readonly arrivedAt: number;
  readonly expiresAt: number;
  /** The node that it was last sent to. */
  sentTo?: string;
  /** The node to ask next after one that does not hold the home. */
  next?: string;
  /** Epoch of the newest owner that it was sent for. */
  ownerEpoch: number;
  /** How often it was sent. */
  sends: number;
  /** Redirects in a row that were followed at once. */
  redirects: number;
  /** When it is sent again if no answer has come. */
  resendAt: number;
}

/** What the log says of an edit; never a key or a body. */
export interface AuditedEdit {
  /** Id of the key that the operator presented. */
  readonly keyId: string;
  readonly section: ConfigurationSection;
  readonly change: string;
}

export interface AdmissionState {
  keys: KeyRing;
  fleet: FleetShape;
  nextCall: number;
  readonly pending: Map<string, PendingCall>;
  /** Call ids by request id. */
  readonly byRequest: Map<string, string>;
  readonly pendingOfTeam: Map<string, number>;
  readonly budgets: Map<string, RetryBudget>;
  /** Edits of the configuration that are under way, by request id. */
  readonly edits: Map<string, AuditedEdit>;
  /** Requests whose burn report is being made. */
  readonly reports: Set<string>;
  isStopping: boolean;
  isStopped: boolean;
}

export const ADMISSION = createStateKey<AdmissionState>("admission");

/** Adds a call to the table. */
export function addPending(state: AdmissionState, call: PendingCall): void {
  state.pending.set(call.callId, call);
  state.byRequest.set(call.requestId, call.callId);
  addToTeam(state, call.team, 1);
}

/** Takes a call out of the table. */
export function removePending(state: AdmissionState, call: PendingCall): void {
  state.pending.delete(call.callId);
  state.byRequest.delete(call.requestId);
  addToTeam(state, call.team, -1);
}

/** Answers a caller. */
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

/** Answers a call that waited for its home. */
export function settlePending(
  call: PendingCall,
  answer: CallerAnswer,
  update: Update,
): void {
  removePending(update.write(ADMISSION), call);
  update.emit(observe("home_call_ms", update.now - call.arrivedAt));
  answerCaller(call.requestId, answer, update);
}

function addToTeam(state: AdmissionState, team: string, by: number): void {
  const pending = (state.pendingOfTeam.get(team) ?? 0) + by;
  if (pending > 0) {
    state.pendingOfTeam.set(team, pending);
  } else {
    state.pendingOfTeam.delete(team);
  }
}
