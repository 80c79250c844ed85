import type { Update } from "@mustardweir/kernel";
import {
  count,
  EffectKind,
  type FrontAnswer,
  nodeEffect,
} from "@mustardweir/protocol";
import { CallStep, INTAKE, type PendingCall } from "./intake_state.ts";
import { reportQuery } from "./query_report.ts";

/**
 * Delay before an operation that the store refused is retried, in milliseconds.
 */
const RETRY_DELAY_MS = 120;
/**
 * Time after which a caller that can't be served now may retry, in
 * milliseconds.
 */
export const RETRY_AFTER_MS = 500;

/** Lets the call wait for a while before its next step. */
export function pauseCall(update: Update, call: PendingCall): void {
  call.resumeMs = update.now + RETRY_DELAY_MS;
  call.step = CallStep.Pausing;
}

/** Answers a call and removes it from the pending calls. */
export function answerCall(
  update: Update,
  callId: string,
  answered: FrontAnswer,
): void {
  const { calls } = update.write(INTAKE);
  const call = calls.get(callId);
  if (call !== undefined) {
    reportQuery(update, call, answered);
  }
  calls.delete(callId);
  update.emit(count(`front-${answered.kind}`));
  update.emit(nodeEffect({
    kind: EffectKind.AnswerFront,
    callId,
    answer: answered,
  }));
}
