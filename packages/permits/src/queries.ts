import { createCommand, type Update } from "@mustardweir/kernel";
import type { PermitPolicy } from "@mustardweir/model";
import {
  count,
  EffectKind,
  type EffectReply,
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
import { liveNodes, TENURE } from "@mustardweir/tenure";
import {
  type PermitCall,
  type PermitQuery,
  PERMITS,
  PERMITS_CHANGED,
  type StagePermits,
} from "./permits_state.ts";

/** Expected duration above which a query is long, in milliseconds. */
const LONG_QUERY_MS = 150;
/** Time constant of the average load of short queries, in milliseconds. */
const LOAD_WINDOW_MS = 2_000;
/**
 * Nodes reserved for short queries: this factor times the nodes that such
 * queries keep busy, plus a constant.
 */
const SHORT_QUERY_HEADROOM = 1.3;
const SHORT_SPARE_NODES = 0.3;
/**
 * Most short queries in flight through one node. The policy serves each node's
 * queries in turn, and takes up to 32 of them.
 */
const MAX_SHORT_QUERIES_PER_NODE = 3;
/** Time that a query may take beyond its expected duration, in milliseconds. */
const SLACK_MS = 250;
/** Factor on the expected duration of a query, for its timeout. */
const SLACK_FACTOR = 1.5;
/**
 * Time for which a node whose query failed gets no others, in milliseconds. It
 * doubles with each failure in a row: after a takeover the first queries may
 * only have been sent before the links were up.
 */
const MIN_BACKOFF_MS = 300;
const MAX_BACKOFF_MS = 3_000;
/**
 * Time before its expiry from which a permit is no longer used, in
 * milliseconds.
 */
const PERMIT_EXPIRY_MARGIN_MS = 150;

/** Dispatched with the result of a query that this node sent to the policy. */
export const POLICY_ANSWERED = createCommand<
  EffectReply<
    { readonly from: string; readonly requestId: number },
    PermitResult
  >
>("policy-answered");

/** Parameters of a permit query. */
export interface PermitQueryOptions {
  /** Name of the stage: `jobId.occurrence.stage`. */
  readonly stage: string;
  readonly workers: readonly string[];
  readonly policy: PermitPolicy;
  readonly rank: number;
}

/** Returns the permits of a stage; adds an empty entry if there is none. */
export function stagePermits(update: Update, stage: string): StagePermits {
  const { stages } = update.write(PERMITS);
  const known = stages.get(stage);
  if (known !== undefined) {
    return known;
  }
  const created = {
    judged: new Set<string>(),
    good: new Map(),
    isQueryPending: false,
  };
  stages.set(stage, created);
  return created;
}

/**
 * Returns the worker's permit for a stage; undefined if there is none that is
 * still valid.
 */
export function findValidPermit(
  update: Update,
  stage: string,
  workerId: string,
): string | undefined {
  const held = update.read(PERMITS).stages.get(stage)?.good.get(workerId);
  return held !== undefined && held.validUntilMs > update.now
    ? held.permit
    : undefined;
}

/** Queues a permit query unless one for the stage is queued or in flight. */
export function queryPermits(
  update: Update,
  options: PermitQueryOptions,
): void {
  const known = stagePermits(update, options.stage);
  if (known.isQueryPending || options.workers.length === 0) {
    return;
  }
  known.isQueryPending = true;
  insertQuery(update, { ...options, queuedMs: update.now });
  sendWaitingQueries(update);
}

/** Removes the permits and queued queries of a stage that has ended. */
export function dropPermits(update: Update, stage: string): void {
  const permits = update.write(PERMITS);
  permits.stages.delete(stage);
  const index = permits.waiting.findIndex((query) => query.stage === stage);
  if (index >= 0) {
    permits.waiting.splice(index, 1);
  }
}

/** Invalidates a permit that a worker refused. */
export function invalidatePermit(
  update: Update,
  stage: string,
  workerId: string,
): void {
  update.write(PERMITS).stages.get(stage)?.good.set(workerId, {
    permit: "",
    validUntilMs: 0,
  });
}

/** Invalidates all permits of a worker that is back as a new incarnation. */
export function invalidateWorkerPermits(
  update: Update,
  workerId: string,
): void {
  for (const [stage, { good }] of update.write(PERMITS).stages) {
    if (good.has(workerId)) {
      invalidatePermit(update, stage, workerId);
    }
  }
}

/**
 * Sends waiting queries. A long one goes to a node without any in flight; short
 * ones share a node, so that the policy has the next one at hand when it has
 * decided on the one before.
 */
export function sendWaitingQueries(update: Update): void {
  const permits = update.write(PERMITS);
  if (permits.waiting.length === 0) {
    return;
  }
  const nodes = findUsableNodes(update);
  let longQueriesLeft = maxLongQueries(update, nodes.length) -
    [...permits.calls.values()].filter((call) => call.isLong).length;
  let node = findLeastBusy(nodes);
  if (isFull(node)) {
    return;
  }
  const left: PermitQuery[] = [];
  const waiting = permits.waiting.splice(0);
  for (const [index, query] of waiting.entries()) {
    // In a burst, hundreds wait and all nodes are busy.
    if (isFull(node)) {
      left.push(...waiting.slice(index));
      break;
    }
    const isLong = expectedMs(query) > LONG_QUERY_MS;
    const canSend = isLong
      ? longQueriesLeft > 0 && node.inFlight === 0
      : node.inFlight < MAX_SHORT_QUERIES_PER_NODE;
    if (!canSend) {
      left.push(query);
      continue;
    }
    longQueriesLeft -= isLong ? 1 : 0;
    node.inFlight += isLong ? MAX_SHORT_QUERIES_PER_NODE : 1;
    sendQuery(update, query, { nodeId: node.nodeId, isLong });
    node = findLeastBusy(nodes);
  }
  permits.waiting.push(...left);
}

/** Returns whether the node, and so each busier one, takes no query now. */
function isFull({ inFlight }: UsableNode): boolean {
  return inFlight >= MAX_SHORT_QUERIES_PER_NODE;
}

/** Returns the first of the nodes with the fewest queries in flight. */
function findLeastBusy(nodes: readonly UsableNode[]): UsableNode {
  return nodes.reduce((least, node) =>
    node.inFlight < least.inFlight ? node : least
  );
}

/** Adds a query to those that wait, by rank and then by age. */
function insertQuery(update: Update, query: PermitQuery): void {
  const { waiting } = update.write(PERMITS);
  let index = waiting.length;
  while (index > 0 && isBefore(query, waiting[index - 1]!)) {
    index--;
  }
  waiting.splice(index, 0, query);
}

function isBefore(a: PermitQuery, b: PermitQuery): boolean {
  return a.rank < b.rank || (a.rank === b.rank && a.queuedMs < b.queuedMs);
}

/** Requeues queries that were not answered in time. */
export function expireQueries(update: Update): void {
  const permits = update.write(PERMITS);
  const { stalledMs } = update.read(TENURE);
  for (const call of [...permits.calls.values()]) {
    // A reply that came while this node stood still is still to be read.
    if (update.now >= call.expiresMs + stalledMs - call.stalledMs) {
      handleQueryFailure(update, call, "no answer");
    }
  }
  if (permits.waiting.length > 0) {
    sendWaitingQueries(update);
  }
}

/** Requeues the queries in flight of nodes that have restarted. */
export function requeueLostQueries(update: Update): void {
  const permits = update.write(PERMITS);
  for (const call of [...permits.calls.values()]) {
    if (incarnationOf(update, call.nodeId) !== call.incarnation) {
      handleQueryFailure(update, call, "node restarted");
      permits.backoffUntilMs.delete(call.nodeId);
    }
  }
  sendWaitingQueries(update);
}

/** Handles the result of a query of this owner. */
export function handleQueryResult(
  update: Update,
  { requestId, result }: Pick<PermitReply, "requestId" | "result">,
): void {
  const permits = update.write(PERMITS);
  const call = permits.calls.get(requestId);
  if (call === undefined) {
    return;
  }
  if (result.kind !== PermitResultKind.Judged) {
    handleQueryFailure(update, call, result.kind);
    return;
  }
  permits.calls.delete(requestId);
  permits.failures.delete(call.nodeId);
  if (!call.isLong) {
    // What a query really takes counts, the way through the node included.
    const excessMs = update.now - call.sentMs - expectedMs(call);
    permits.shortQueryMs = Math.max(0, shortLoadMs(update) + excessMs);
    permits.shortQueryUpdatedMs = update.now;
  }
  update.emit(observe("permit-wait-ms", update.now - call.queuedMs));
  const known = permits.stages.get(call.stage);
  if (known !== undefined) {
    known.isQueryPending = false;
    for (const worker of call.workers) {
      known.judged.add(worker);
    }
    for (const { workerId, permit } of result.permits) {
      known.good.set(workerId, {
        permit,
        validUntilMs: update.now + result.validMs - PERMIT_EXPIRY_MARGIN_MS,
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
  sendWaitingQueries(update);
}

/** Queries the policy on behalf of the domain's owner. */
export function queryPolicy(
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

/**
 * Handles the policy's reply: passes it to the owner that requested the query,
 * which may be this node.
 */
export function handlePolicyResult(
  update: Update,
  { context, result }: EffectReply<
    { readonly from: string; readonly requestId: number },
    PermitResult
  >,
): void {
  const { from, requestId } = context;
  if (from === update.service(NODE_IDENTITY).nodeId) {
    handleQueryResult(update, { requestId, result });
    return;
  }
  update.emit(
    sendPeer(from, { kind: PeerMessageKind.PermitReply, requestId, result }),
  );
}

function sendQuery(
  update: Update,
  query: PermitQuery,
  { nodeId, isLong }: { readonly nodeId: string; readonly isLong: boolean },
): void {
  const permits = update.write(PERMITS);
  const requestId = ++permits.lastRequestId;
  const queuedMs = isLong
    ? 0
    : (MAX_SHORT_QUERIES_PER_NODE - 1) * expectedMs(query);
  const timeoutMs = Math.ceil(
    expectedMs(query) * SLACK_FACTOR + SLACK_MS + queuedMs,
  );
  permits.calls.set(requestId, {
    ...query,
    requestId,
    nodeId,
    incarnation: incarnationOf(update, nodeId),
    isLong,
    sentMs: update.now,
    stalledMs: update.read(TENURE).stalledMs,
    expiresMs: update.now + timeoutMs + SLACK_MS,
  });
  const request: PermitRequest = {
    kind: PeerMessageKind.PermitRequest,
    requestId,
    stage: query.stage,
    workers: query.workers,
    timeoutMs,
  };
  if (!isLong) {
    permits.shortQueryMs = shortLoadMs(update) + expectedMs(query);
    permits.shortQueryUpdatedMs = update.now;
  }
  update.emit(count("permit-questions"));
  if (nodeId === update.service(NODE_IDENTITY).nodeId) {
    queryPolicy(update, nodeId, request);
  } else {
    update.emit(sendPeer(nodeId, request));
  }
}

function handleQueryFailure(
  update: Update,
  call: PermitCall,
  reason: string,
): void {
  const permits = update.write(PERMITS);
  permits.calls.delete(call.requestId);
  backOff(update, call.nodeId);
  update.emit(count("permit-failures"));
  update.emit(logChange("Permits not granted", {
    stage: call.stage,
    node: call.nodeId,
    reason,
  }));
  if (permits.stages.has(call.stage)) {
    insertQuery(update, call);
  }
}

/** Sends no queries through a node for a while, unless it is in back-off. */
function backOff(update: Update, nodeId: string): void {
  const { failures, backoffUntilMs } = update.write(PERMITS);
  if ((backoffUntilMs.get(nodeId) ?? 0) > update.now) {
    return;
  }
  const inRow = failures.get(nodeId) ?? 0;
  failures.set(nodeId, inRow + 1);
  backoffUntilMs.set(
    nodeId,
    update.now + Math.min(MIN_BACKOFF_MS * 2 ** inRow, MAX_BACKOFF_MS),
  );
}

/** Returns the maximum number of nodes that may run long queries at a time. */
function maxLongQueries(update: Update, nodes: number): number {
  const busyNodes = shortLoadMs(update) / LOAD_WINDOW_MS;
  const reservedNodes = Math.ceil(
    SHORT_QUERY_HEADROOM * busyNodes + SHORT_SPARE_NODES,
  );
  return Math.max(1, nodes - reservedNodes);
}

function shortLoadMs(update: Update): number {
  const { shortQueryMs, shortQueryUpdatedMs } = update.read(
    PERMITS,
  );
  return shortQueryMs *
    Math.exp((shortQueryUpdatedMs - update.now) / LOAD_WINDOW_MS);
}

interface UsableNode {
  readonly nodeId: string;
  /** Number of queries in flight; a long one counts as the most short ones. */
  inFlight: number;
}

/**
 * Returns the nodes through which queries can be sent, beginning at a random one
 * so that all get their share; this node, which has most else to do, comes last.
 * Nodes in back-off are left out; if all are, only this node is used.
 */
function findUsableNodes(update: Update): UsableNode[] {
  const { calls, backoffUntilMs } = update.read(PERMITS);
  const { nodeId } = update.service(NODE_IDENTITY);
  const others = liveNodes(update).map((node) => node.nodeId)
    .filter((id) => id !== nodeId);
  const first = update.random.below(Math.max(others.length, 1));
  const ids = [...others.slice(first), ...others.slice(0, first), nodeId]
    .filter((id) => (backoffUntilMs.get(id) ?? 0) <= update.now);
  const inFlight = new Map<string, number>();
  for (const call of calls.values()) {
    inFlight.set(
      call.nodeId,
      (inFlight.get(call.nodeId) ?? 0) +
        (call.isLong ? MAX_SHORT_QUERIES_PER_NODE : 1),
    );
  }
  return (ids.length > 0 ? ids : [nodeId]).map((id) => ({
    nodeId: id,
    inFlight: inFlight.get(id) ?? 0,
  }));
}

function incarnationOf(update: Update, nodeId: string): string {
  return update.read(REPLICA).nodes.get(nodeId)?.incarnation ?? "";
}

function expectedMs({ policy, workers }: PermitQuery): number {
  return policy.decideMs + policy.perWorkerMs * workers.length;
}
