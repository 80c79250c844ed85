import { createCommand, type Update } from "@mustardweir/kernel";
import {
  EffectKind,
  type EffectReply,
  FrontAnswerKind,
  replyTo,
  Source,
  type SourceResult,
  SourceResultKind,
} from "@mustardweir/protocol";
import { applyChange, recentSummary, SUMMARY_KEY } from "@mustardweir/replica";
import { callStore, STORE_ROUTE } from "@mustardweir/store-route";
import { answerCall, pauseCall, RETRY_AFTER_MS } from "./call_answers.ts";
import { CallStep, INTAKE, type PendingCall } from "./intake_state.ts";
import { countWaiting } from "./summary.ts";

const READ_TIMEOUT_MS = 300;

/** Dispatched when the owner's summary has been read for a call. */
export const SUMMARY_READ = createCommand<
  EffectReply<{ readonly callId: string }, SourceResult>
>("summary-read");

/**
 * Answers a call for the number of waiting jobs. If what this node knows is too
 * old, it reads the owner's summary again, which a takeover may have delayed. While
 * calls to the store fail it reads nothing: the read would compete with those that
 * find out when the store is back.
 */
export function answerCount(update: Update, call: PendingCall): void {
  if (answerIfKnown(update, call)) {
    return;
  }
  if (update.read(STORE_ROUTE).failures > 0) {
    refuseCount(update, call);
    return;
  }
  call.step = CallStep.ReadingSummary;
  callStore(update, {
    kind: EffectKind.ReadSource,
    source: Source.Fleet,
    part: SUMMARY_KEY.part,
    only: SUMMARY_KEY.key,
    timeoutMs: READ_TIMEOUT_MS,
    replyTo: replyTo(SUMMARY_READ, { callId: call.callId }),
  });
}

/**
 * Handles the owner's summary. Without a recent one there is no owner, and none
 * is about to take over, so the call is refused at once.
 */
export function handleSummaryRead(
  update: Update,
  { context, result }: EffectReply<
    { readonly callId: string },
    SourceResult
  >,
): void {
  const call = update.write(INTAKE).calls.get(context.callId);
  if (call?.step !== CallStep.ReadingSummary) {
    return;
  }
  if (result.kind === SourceResultKind.Read) {
    result.changes.forEach((change) => applyChange(update, change));
  }
  if (answerIfKnown(update, call)) {
    return;
  }
  if (recentSummary(update) === undefined) {
    refuseCount(update, call);
  } else {
    pauseCall(update, call);
  }
}

/** Refuses the call: a number that may be wrong is worse than none. */
export function refuseCount(update: Update, { callId }: PendingCall): void {
  answerCall(update, callId, {
    kind: FrontAnswerKind.Unavailable,
    reason: "The number of waiting jobs isn't known at present",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function answerIfKnown(
  update: Update,
  { callId, queue }: PendingCall,
): boolean {
  const waiting = countWaiting(update, queue);
  if (waiting === undefined) {
    return false;
  }
  answerCall(update, callId, { kind: FrontAnswerKind.Waiting, waiting });
  return true;
}
