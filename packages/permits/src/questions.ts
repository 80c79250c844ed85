import { createCommand, type Update } from "@mustardweir/kernel";
import type { PermitPolicy } from "@mustardweir/model";
import {
  type Answered,
  count,
  EffectKind,
  logChange,
  NODE_IDENTITY,
  nodeEffect,
  observe,
  PeerMessageKind,
  type PermitReply,
  type PermitRequest,
  type PermitResult,
  PermitResultKind,
  replyTo,
  sendPeer,
} from "@mustardweir/protocol";
import { REPLICA } from "@mustardweir/replica";
import { livePeers } from "@mustardweir/tenure";
import {
  type PermitCall,
  type PermitQuestion,
  PERMITS,
  PERMITS_CHANGED,
  type StagePermits,
} from "./permits_state.ts";

/** Questions that take longer than this are long, in milliseconds. */
const LONG_MS = 150;
/** Time over which the load of short questions is averaged, in ms. */
const LOAD_WINDOW_MS = 2_000;
/** Nodes kept free for short questions, by the nodes that these keep busy. */
const SHORT_HEADROOM = 1.3;
const SHORT_SPARE_NODES = 0.3;
/** Time that a question may take beyond its usual time, in milliseconds. */
const SLACK_MS = 250;
/** The same as a multiple. */
const SLACK_FACTOR = 1.5;
/** How long a node that failed to ask is spared, in milliseconds. */
const SPARE_MS = 3_000;
/** A permit isn't used this shortly before its end, in milliseconds. */
const USE_MARGIN_MS = 150;

/** The policy has answered this node. */
export const POLICY_ANSWERED = createCommand<
  Answered<{ readonly from: string; readonly requestId: number }, PermitResult>
>("policy-answered");

/** What is needed to ask who may run a stage. */
export interface AskOptions {
  /** jobId.occurrence.stage */
  readonly stage: string;
  readonly workers: readonly string[];
  readonly policy: PermitPolicy;
  readonly rank: number;
}

/** The permits of a stage. */
export function stagePermits(update: Update, stage: string): StagePermits {
  const { stages } = update.write(PERMITS);
  const known = stages.get(stage);
  if (known !== undefined) {
    return known;
  }
  const created = {
    judged: new Set<string>(),
    good: new Map(),
    isAsked: false,
  };
  stages.set(stage, created);
  return created;
}

/** The permit of a worker for a stage, when it holds for long enough. */
export function heldPermit(
  update: Update,
  stage: string,
  workerId: string,
): string | undefined {
  const held = update.read(PERMITS).stages.get(stage)?.good.get(workerId);
  return held !== undefined && held.validUntilMs > update.now
    ? held.permit
    : undefined;
}

/** Queues a question unless one of the stage is under way. */
export function askPermits(update: Update, options: AskOptions): void {
  const known = stagePermits(update, options.stage);
  if (known.isAsked || options.workers.length === 0) {
    return;
  }
  known.isAsked = true;
  update.write(PERMITS).waiting.push({ ...options, queuedMs: update.now });
  pumpQuestions(update);
}

/** Forgets a stage that has ended. */
export function dropPermits(update: Update, stage: string): void {
  const permits = update.write(PERMITS);
  permits.stages.delete(stage);
  const index = permits.waiting.findIndex((asked) => asked.stage === stage);
  if (index >= 0) {
    permits.waiting.splice(index, 1);
  }
}

/** A permit that a worker refused is not used again. */
export function voidPermit(
  update: Update,
  stage: string,
  workerId: string,
): void {
  update.write(PERMITS).stages.get(stage)?.good.set(workerId, {
    permit: "",
    validUntilMs: 0,
  });
}

/** Gives waiting questions to nodes that have none. */
export function pumpQuestions(update: Update): void {
  const permits = update.write(PERMITS);
  permits.waiting.sort((a, b) => a.rank - b.rank || a.queuedMs - b.queuedMs);
  const nodes = askingNodes(update);
  let longLeft = longLimit(update, nodes.total) -
    [...permits.calls.values()].filter((call) => call.isLong).length;
  for (let index = 0; index < permits.waiting.length;) {
    const question = permits.waiting[index]!;
    const isLong = usualMs(question) > LONG_MS;
    if (nodes.free.length === 0) {
      return;
    }
    if (isLong && longLeft <= 0) {
      index++;
      continue;
    }
    longLeft -= isLong ? 1 : 0;
    permits.waiting.splice(index, 1);
    send(update, question, { nodeId: nodes.free.pop()!, isLong });
  }
}

/** Gives up questions whose node hasn't answered in time. */
export function expireQuestions(update: Update): void {
  const permits = update.write(PERMITS);
  for (const call of [...permits.calls.values()]) {
    if (update.now >= call.expiresMs) {
      failed(update, call, "no answer");
    }
  }
  if (permits.waiting.length > 0) {
    pumpQuestions(update);
  }
}

/** Asks again what nodes were asked that have restarted since. */
export function nodesChanged(update: Update): void {
  const permits = update.write(PERMITS);
  for (const call of [...permits.calls.values()]) {
    if (incarnationOf(update, call.nodeId) !== call.incarnation) {
      failed(update, call, "node restarted");
      permits.sparedUntilMs.delete(call.nodeId);
    }
  }
  pumpQuestions(update);
}

/** Takes what the policy has said to a question of this owner. */
export function questionAnswered(
  update: Update,
  { requestId, result }: Pick<PermitReply, "requestId" | "result">,
): void {
  const permits = update.write(PERMITS);
  const call = permits.calls.get(requestId);
  if (call === undefined) {
    return;
  }
  if (result.kind !== PermitResultKind.Judged) {
    failed(update, call, result.kind);
    return;
  }
  permits.calls.delete(requestId);
  update.emit(observe("permit-wait-ms", update.now - call.queuedMs));
  const known = permits.stages.get(call.stage);
  if (known !== undefined) {
    known.isAsked = false;
    for (const worker of call.workers) {
      known.judged.add(worker);
    }
    for (const { workerId, permit } of result.permits) {
      known.good.set(workerId, {
        permit,
        validUntilMs: update.now + result.validMs - USE_MARGIN_MS,
      });
    }
    update.emit(logChange("Permits granted", {
      stage: call.stage,
      node: call.nodeId,
      asked: call.workers.length,
      good: result.permits.length,
      waitedMs: Math.round(call.sentMs - call.queuedMs),
      tookMs: Math.round(update.now - call.sentMs),
    }));
    update.dispatch(PERMITS_CHANGED, { stage: call.stage });
  }
  pumpQuestions(update);
}

/** Asks the policy on behalf of the domain's owner. */
export function askForPeer(
  update: Update,
  from: string,
  { requestId, stage, workers, timeoutMs }: PermitRequest,
): void {
  update.emit(nodeEffect({
    kind: EffectKind.AskPermits,
    stage,
    workers,
    timeoutMs,
    replyTo: replyTo(POLICY_ANSWERED, { from, requestId }),
  }));
}

/** Passes the policy's answer to the node that wanted it. */
export function policyAnswered(
  update: Update,
  { context, result }: Answered<
    { readonly from: string; readonly requestId: number },
    PermitResult
  >,
): void {
  const { from, requestId } = context;
  if (from === update.service(NODE_IDENTITY).nodeId) {
    questionAnswered(update, { requestId, result });
    return;
  }
  update.emit(
    sendPeer(from, { kind: PeerMessageKind.PermitReply, requestId, result }),
  );
}

function send(
  update: Update,
  question: PermitQuestion,
  { nodeId, isLong }: { readonly nodeId: string; readonly isLong: boolean },
): void {
  const permits = update.write(PERMITS);
  const requestId = ++permits.lastRequest;
  const timeoutMs = Math.ceil(usualMs(question) * SLACK_FACTOR + SLACK_MS);
  permits.calls.set(requestId, {
    ...question,
    requestId,
    nodeId,
    incarnation: incarnationOf(update, nodeId),
    isLong,
    sentMs: update.now,
    expiresMs: update.now + timeoutMs + SLACK_MS,
  });
  const request: PermitRequest = {
    kind: PeerMessageKind.PermitRequest,
    requestId,
    stage: question.stage,
    workers: question.workers,
    timeoutMs,
  };
  if (!isLong) {
    permits.shortMs = shortLoadMs(update) + usualMs(question);
    permits.shortAtMs = update.now;
  }
  update.emit(count("permit-questions"));
  if (nodeId === update.service(NODE_IDENTITY).nodeId) {
    askForPeer(update, nodeId, request);
  } else {
    update.emit(sendPeer(nodeId, request));
  }
}

function failed(update: Update, call: PermitCall, reason: string): void {
  const permits = update.write(PERMITS);
  permits.calls.delete(call.requestId);
  permits.sparedUntilMs.set(call.nodeId, update.now + SPARE_MS);
  update.emit(count("permit-failures"));
  update.emit(logChange("Permits not granted", {
    stage: call.stage,
    node: call.nodeId,
    reason,
  }));
  if (permits.stages.has(call.stage)) {
    permits.waiting.push(call);
  }
}

/** Nodes that long questions may hold at a time. */
function longLimit(update: Update, nodes: number): number {
  const busyNodes = shortLoadMs(update) / LOAD_WINDOW_MS;
  const kept = Math.ceil(SHORT_HEADROOM * busyNodes + SHORT_SPARE_NODES);
  return Math.max(1, nodes - kept);
}

function shortLoadMs(update: Update): number {
  const { shortMs, shortAtMs } = update.read(PERMITS);
  return shortMs * Math.exp((shortAtMs - update.now) / LOAD_WINDOW_MS);
}

/** Nodes that no question holds; those in trouble only if there is no other. */
function askingNodes(update: Update): { free: string[]; total: number } {
  const { calls, sparedUntilMs } = update.read(PERMITS);
  const { nodeId } = update.service(NODE_IDENTITY);
  const ids = new Set([
    nodeId,
    ...livePeers(update).map((node) => node.nodeId),
  ]);
  const usable = [...ids].filter((id) =>
    (sparedUntilMs.get(id) ?? 0) <= update.now
  );
  const nodes = usable.length > 0 ? usable : [nodeId];
  const busy = new Set([...calls.values()].map((call) => call.nodeId));
  return {
    free: nodes.filter((id) => !busy.has(id)),
    total: nodes.length,
  };
}

function incarnationOf(update: Update, nodeId: string): string {
  return update.read(REPLICA).nodes.get(nodeId)?.incarnation ?? "";
}

function usualMs({ policy, workers }: PermitQuestion): number {
  return policy.decideMs + policy.perWorkerMs * workers.length;
}
