import { createCommand, type Update } from "@mustardweir/kernel";
import {
  count,
  createEffectReply,
  EffectKind,
  type EffectReply,
  logChange,
  type NodeEffect,
  nodeEffect,
  PeerMessageKind,
  RecordCommitKind,
  type RecordCommitResult,
  type ReplyTo,
  replyTo,
  sendPeer,
  type SourceResult,
  SourceResultKind,
  type StoreCall,
  type StoreReply,
  type StoreRequest,
} from "@mustardweir/protocol";
import { STORE_ROUTE } from "./route_state.ts";

/** Consecutive failed direct calls after which calls go through peers. */
const MAX_DIRECT_FAILURES = 2;
/** Interval between direct calls while calls go through peers, in ms. */
const PROBE_INTERVAL_MS = 700;
/**
 * Consecutive calls that failed directly and through peers after which the store
 * counts as away; so many that a store which lacks some of its parts doesn't.
 */
const MIN_LOST_CALLS = 6;
/** Interval between calls while the store is away, in milliseconds. */
const AWAY_PROBE_INTERVAL_MS = 200;
/** Time without requests to a peer whose relayed call failed, in ms. */
const PEER_BACKOFF_MS = 1_000;
/** Time allowed for a relayed call beyond its own timeout, in milliseconds. */
const RELAY_ALLOWANCE_MS = 100;

/** Number of ranges of ids of which each process takes a random one. */
const ID_RANGES = 2 ** 30;
/** Ids in a range; the highest id is below the largest safe integer. */
const IDS_PER_RANGE = 2 ** 20;

type StoreResult = RecordCommitResult | SourceResult;

/** The context of a call of this node that is in flight. */
interface OwnCall {
  readonly call: StoreCall;
  readonly replyTo: ReplyTo<never>;
  /** Whether a failure is final, since no further peer is to be tried. */
  readonly isFinalTry: boolean;
}

/** Dispatched with the result of a direct call of this node. */
export const STORE_ANSWERED = createCommand<EffectReply<OwnCall, StoreResult>>(
  "store-answered",
);
/** Dispatched with the result of a call that this node made for a peer. */
export const RELAY_ANSWERED = createCommand<
  EffectReply<
    { readonly from: string; readonly requestId: number },
    StoreResult
  >
>("relay-answered");

type StoreEffect = Extract<
  NodeEffect,
  {
    kind:
      | EffectKind.CommitRecords
      | EffectKind.ReadSource
      | EffectKind.FollowSource;
  }
>;

/**
 * Calls the store directly, or through a peer while direct calls fail. The
 * result is dispatched to the effect's `replyTo`. While the store is away for
 * all nodes, most calls are refused at once, without being sent: each would cost
 * all nodes a try.
 *
 * @example
 * ```ts
 * callStore(update, {
 *   kind: EffectKind.FollowSource,
 *   source: Source.Workers,
 *   afterVersion,
 *   waitMs: 1_000,
 *   timeoutMs: 1_700,
 *   replyTo: replyTo(SOURCE_ANSWERED, context),
 * });
 * ```
 */
export function callStore(update: Update, effect: StoreEffect): void {
  const { replyTo: reply, ...call } = effect;
  const own = { call, replyTo: reply as ReplyTo<never>, isFinalTry: false };
  const route = update.write(STORE_ROUTE);
  if (update.now < route.awayUntilMs) {
    update.emit(count("store-calls-held-back"));
    deliverResult(
      update,
      own.replyTo,
      refusedResult(call, "the store is away"),
    );
    return;
  }
  if (route.lostCalls >= MIN_LOST_CALLS) {
    route.awayUntilMs = update.now + AWAY_PROBE_INTERVAL_MS;
  }
  if (!route.isRelayed) {
    callDirectly(update, own);
  } else if (update.now >= route.nextProbeMs) {
    route.nextProbeMs = update.now + PROBE_INTERVAL_MS;
    callDirectly(update, own);
  } else if (!relayCall(update, own)) {
    callDirectly(update, { ...own, isFinalTry: true });
  }
}

/**
 * Handles the result of a direct call. A failed call is repeated through a peer
 * unless it may have taken effect.
 */
export function handleDirectResult(
  update: Update,
  { context, result }: EffectReply<OwnCall, StoreResult>,
): void {
  const route = update.write(STORE_ROUTE);
  if (!isFailure(result)) {
    if (route.isRelayed) {
      update.emit(logChange("Store reached directly again"));
    }
    route.failures = 0;
    route.isRelayed = false;
    noteAnswer(update);
    deliverResult(update, context.replyTo, result);
    return;
  }
  route.failures++;
  if (!route.isRelayed && route.failures >= MAX_DIRECT_FAILURES) {
    route.isRelayed = true;
    route.nextProbeMs = update.now + PROBE_INTERVAL_MS;
    update.emit(
      logChange("Store reached through peers", { failures: route.failures }),
    );
  }
  const canRepeat = result.kind !== RecordCommitKind.Unknown;
  if (context.isFinalTry || !canRepeat || !relayCall(update, context)) {
    noteLostCall(update);
    deliverResult(update, context.replyTo, result);
  }
}

function noteAnswer(update: Update): void {
  const route = update.write(STORE_ROUTE);
  if (route.lostCalls >= MIN_LOST_CALLS) {
    update.emit(logChange("Store answers again"));
  }
  route.lostCalls = 0;
  route.awayUntilMs = 0;
}

function noteLostCall(update: Update): void {
  const route = update.write(STORE_ROUTE);
  route.lostCalls++;
  if (route.lostCalls === MIN_LOST_CALLS) {
    route.awayUntilMs = update.now + AWAY_PROBE_INTERVAL_MS;
    update.emit(logChange("Store is away for all nodes", {
      lostCalls: route.lostCalls,
    }));
  }
}

/** Calls the store for a peer; refuses if this node itself uses peers. */
export function relayForPeer(
  update: Update,
  from: string,
  { requestId, call }: StoreRequest,
): void {
  if (update.read(STORE_ROUTE).isRelayed) {
    update.emit(sendPeer(from, {
      kind: PeerMessageKind.StoreReply,
      requestId,
      result: refusedResult(call, "relay is turned away"),
    }));
    return;
  }
  update.emit(count("store-calls-relayed"));
  update.emit(buildEffect(call, replyTo(RELAY_ANSWERED, { from, requestId })));
}

/** Sends the result of a relayed call to the peer that requested it. */
export function sendRelayedResult(
  update: Update,
  { context, result }: EffectReply<
    { readonly from: string; readonly requestId: number },
    StoreResult
  >,
): void {
  update.emit(sendPeer(context.from, {
    kind: PeerMessageKind.StoreReply,
    requestId: context.requestId,
    result,
  }));
}

/**
 * Handles a peer's reply to a call that it relayed. A failed call is repeated
 * through the next available peer unless it may have taken effect.
 */
export function handleStoreReply(
  update: Update,
  from: string,
  { requestId, result }: StoreReply,
): void {
  const route = update.write(STORE_ROUTE);
  const relayed = route.relayed.get(requestId);
  if (relayed?.peer !== from) {
    return;
  }
  route.relayed.delete(requestId);
  const { call, peer, replyTo: reply } = relayed;
  if (!isFailure(result)) {
    noteAnswer(update);
    deliverResult(update, reply, result);
    return;
  }
  route.backoffUntilMs.set(peer, update.now + PEER_BACKOFF_MS);
  const own = { call, replyTo: reply, isFinalTry: true };
  if (result.kind === RecordCommitKind.Unknown || !relayCall(update, own)) {
    noteLostCall(update);
    deliverResult(update, reply, result);
  }
}

/** Fails relayed calls that got no reply in time. */
export function expireRelayedCalls(update: Update): void {
  const route = update.write(STORE_ROUTE);
  for (const [requestId, relayed] of [...route.relayed]) {
    if (update.now >= relayed.expiresMs) {
      route.relayed.delete(requestId);
      route.backoffUntilMs.set(relayed.peer, update.now + PEER_BACKOFF_MS);
      noteLostCall(update);
      deliverResult(update, relayed.replyTo, timedOutResult(relayed.call));
    }
  }
}

function callDirectly(update: Update, own: OwnCall): void {
  update.emit(buildEffect(own.call, replyTo(STORE_ANSWERED, own)));
}

/** Requests the call from a peer; returns false if no peer is available. */
function relayCall(update: Update, { call, replyTo: reply }: OwnCall): boolean {
  const route = update.write(STORE_ROUTE);
  const peers = route.peers.filter((peer) =>
    (route.backoffUntilMs.get(peer) ?? 0) <= update.now
  );
  const lastRequestId = route.lastRequestId ??= randomFirstId(update);
  const peer = peers[lastRequestId % Math.max(peers.length, 1)];
  if (peer === undefined) {
    return false;
  }
  const requestId = lastRequestId + 1;
  route.lastRequestId = requestId;
  route.relayed.set(requestId, {
    call,
    replyTo: reply,
    peer,
    expiresMs: update.now + call.timeoutMs + RELAY_ALLOWANCE_MS,
  });
  update.emit(
    sendPeer(peer, { kind: PeerMessageKind.StoreRequest, requestId, call }),
  );
  return true;
}

/**
 * Returns where a process begins to number its requests: a reply to a request of
 * an earlier process of this node may still arrive.
 */
function randomFirstId(update: Update): number {
  return update.random.below(ID_RANGES) * IDS_PER_RANGE;
}

function deliverResult(
  update: Update,
  reply: ReplyTo<never>,
  result: StoreResult,
): void {
  update.dispatch(reply.command, createEffectReply(reply, result as never));
}

function buildEffect(
  call: StoreCall,
  reply: ReplyTo<StoreResult>,
): NodeEffect {
  return nodeEffect({ ...call, replyTo: reply } as StoreEffect);
}

function isFailure({ kind }: StoreResult): boolean {
  return kind === RecordCommitKind.Refused ||
    kind === RecordCommitKind.Unknown || kind === SourceResultKind.Unavailable;
}

function refusedResult({ kind }: StoreCall, reason: string): StoreResult {
  return kind === EffectKind.CommitRecords
    ? { kind: RecordCommitKind.Refused }
    : { kind: SourceResultKind.Unavailable, reason };
}

function timedOutResult({ kind }: StoreCall): StoreResult {
  return kind === EffectKind.CommitRecords
    ? { kind: RecordCommitKind.Unknown }
    : { kind: SourceResultKind.Unavailable, reason: "peer did not reply" };
}
