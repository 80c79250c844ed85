import { createCommand, type Update } from "@mustardweir/kernel";
import {
  type Answered,
  answerPayload,
  count,
  EffectKind,
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

/** Failed calls in a row after which peers are asked. */
const MAX_FAILURES = 2;
/** Time between tries of the store itself, in milliseconds. */
const PROBE_MS = 700;
/** How long a peer that could not help is spared, in milliseconds. */
const SPARE_MS = 1_000;
/** Time that a relayed call may take beyond its own limit, in milliseconds. */
const RELAY_MS = 100;

type StoreResult = RecordCommitResult | SourceResult;

/** The context of a call that is under way. */
interface OwnCall {
  readonly call: StoreCall;
  readonly replyTo: ReplyTo<never>;
  /** Peers have failed with it, so there is nobody left to ask. */
  readonly isLast: boolean;
}

/** The store has answered this node about a call of its own. */
export const STORE_ANSWERED = createCommand<Answered<OwnCall, StoreResult>>(
  "store-answered",
);
/** The store has answered this node about a call of a peer. */
export const RELAY_ANSWERED = createCommand<
  Answered<{ readonly from: string; readonly requestId: number }, StoreResult>
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
 * Calls the store by the way that works: directly, or through a peer while
 * the store turns this node away.
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
  const own = { call, replyTo: reply as ReplyTo<never>, isLast: false };
  const route = update.write(STORE_ROUTE);
  if (!route.isRelayed) {
    callDirectly(update, own);
  } else if (update.now >= route.nextProbeMs) {
    route.nextProbeMs = update.now + PROBE_MS;
    callDirectly(update, own);
  } else if (!relay(update, own)) {
    callDirectly(update, { ...own, isLast: true });
  }
}

/** Takes the store's answer to a call of this node. */
export function storeAnswered(
  update: Update,
  { context, result }: Answered<OwnCall, StoreResult>,
): void {
  const route = update.write(STORE_ROUTE);
  if (!isFailure(result)) {
    if (route.isRelayed) {
      update.emit(logChange("Store reached directly again"));
    }
    route.failures = 0;
    route.isRelayed = false;
    forward(update, context.replyTo, result);
    return;
  }
  route.failures++;
  if (!route.isRelayed && route.failures >= MAX_FAILURES) {
    route.isRelayed = true;
    route.nextProbeMs = update.now + PROBE_MS;
    update.emit(
      logChange("Store reached through peers", { failures: route.failures }),
    );
  }
  const mayRepeat = result.kind !== RecordCommitKind.Unknown;
  if (context.isLast || !mayRepeat || !relay(update, context)) {
    forward(update, context.replyTo, result);
  }
}

/** Calls the store for a peer, unless it turns this node away as well. */
export function relayForPeer(
  update: Update,
  from: string,
  { requestId, call }: StoreRequest,
): void {
  if (update.read(STORE_ROUTE).isRelayed) {
    update.emit(sendPeer(from, {
      kind: PeerMessageKind.StoreReply,
      requestId,
      result: refusalOf(call, "relay is turned away"),
    }));
    return;
  }
  update.emit(count("store-calls-relayed"));
  update.emit(effectOf(call, replyTo(RELAY_ANSWERED, { from, requestId })));
}

/** Passes the store's answer on to the peer that wanted it. */
export function relayAnswered(
  update: Update,
  { context, result }: Answered<
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

/** Takes what the store has answered a peer. */
export function replyReceived(
  update: Update,
  { requestId, result }: StoreReply,
): void {
  const route = update.write(STORE_ROUTE);
  const relayed = route.relayed.get(requestId);
  if (relayed === undefined) {
    return;
  }
  route.relayed.delete(requestId);
  const { call, peer, replyTo: reply } = relayed;
  if (!isFailure(result)) {
    forward(update, reply, result);
    return;
  }
  route.sparedUntilMs.set(peer, update.now + SPARE_MS);
  const own = { call, replyTo: reply, isLast: true };
  if (result.kind === RecordCommitKind.Unknown || !relay(update, own)) {
    forward(update, reply, result);
  }
}

/** Gives up relayed calls that got no answer in time. */
export function expireRelayed(update: Update): void {
  const route = update.write(STORE_ROUTE);
  for (const [requestId, relayed] of [...route.relayed]) {
    if (update.now >= relayed.expiresMs) {
      route.relayed.delete(requestId);
      route.sparedUntilMs.set(relayed.peer, update.now + SPARE_MS);
      forward(update, relayed.replyTo, silenceOf(relayed.call));
    }
  }
}

function callDirectly(update: Update, own: OwnCall): void {
  update.emit(effectOf(own.call, replyTo(STORE_ANSWERED, own)));
}

/** Has a peer make the call; false when there is none to ask. */
function relay(update: Update, { call, replyTo: reply }: OwnCall): boolean {
  const route = update.write(STORE_ROUTE);
  const peers = route.peers.filter((peer) =>
    (route.sparedUntilMs.get(peer) ?? 0) <= update.now
  );
  const peer = peers[route.lastRequest % Math.max(peers.length, 1)];
  if (peer === undefined) {
    return false;
  }
  const requestId = ++route.lastRequest;
  route.relayed.set(requestId, {
    call,
    replyTo: reply,
    peer,
    expiresMs: update.now + call.timeoutMs + RELAY_MS,
  });
  update.emit(
    sendPeer(peer, { kind: PeerMessageKind.StoreRequest, requestId, call }),
  );
  return true;
}

function forward(
  update: Update,
  reply: ReplyTo<never>,
  result: StoreResult,
): void {
  update.dispatch(reply.command, answerPayload(reply, result as never));
}

function effectOf(
  call: StoreCall,
  reply: ReplyTo<StoreResult>,
): NodeEffect {
  return nodeEffect({ ...call, replyTo: reply } as StoreEffect);
}

function isFailure({ kind }: StoreResult): boolean {
  return kind === RecordCommitKind.Refused ||
    kind === RecordCommitKind.Unknown || kind === SourceResultKind.Unavailable;
}

function refusalOf({ kind }: StoreCall, reason: string): StoreResult {
  return kind === EffectKind.CommitRecords
    ? { kind: RecordCommitKind.Refused }
    : { kind: SourceResultKind.Unavailable, reason };
}

function silenceOf({ kind }: StoreCall): StoreResult {
  return kind === EffectKind.CommitRecords
    ? { kind: RecordCommitKind.Unknown }
    : { kind: SourceResultKind.Unavailable, reason: "peer is silent" };
}
