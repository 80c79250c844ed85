import { createCommand, type Update } from "@mustardweir/kernel";
import {
  EffectKind,
  type EffectReply,
  NODE_IDENTITY,
  nodeEffect,
  type RecordCommitResult,
  replyTo,
} from "@mustardweir/protocol";
import {
  type KnownNode,
  type NodeRecord,
  recordKey,
  RecordKind,
  REPLICA,
  storeNow,
} from "@mustardweir/replica";
import { callStore, RELAYS_KNOWN } from "@mustardweir/store-route";
import { strengthOf } from "./strength.ts";
import { TENURE } from "./tenure_state.ts";

const REGISTER_TIMEOUT_MS = 1_000;
/** A node that hasn't renewed its record for this long isn't live, in ms. */
const NODE_EXPIRY_MS = 7_000;

/**
 * Dispatched with the result of a registration. Failures are ignored, since
 * the record is renewed periodically.
 */
export const REGISTRATION_ANSWERED = createCommand<
  EffectReply<null, RecordCommitResult>
>("registration-answered");

/**
 * Renews this node's record, from which peers read its address and its clock.
 * Nothing is recorded before the store's first reply, since the offset of the
 * clock isn't known until then.
 */
export function registerNode(update: Update): void {
  const identity = update.service(NODE_IDENTITY);
  const { unixOffsetMs } = update.read(REPLICA);
  if (unixOffsetMs === undefined) {
    return;
  }
  const record: NodeRecord = {
    address: identity.peerAddress ?? "",
    incarnation: identity.incarnation,
    zone: identity.availabilityZone,
    unixOffsetMs,
    strength: strengthOf(identity),
    lagMs: Math.round(update.read(TENURE).lagMs),
    isStandby: update.read(REPLICA).isStandby,
    keepsClosed: true,
    readsSettled: true,
    renewedMs: storeNow(update),
  };
  callStore(update, {
    kind: EffectKind.CommitRecords,
    transaction: {
      expected: [],
      puts: [{
        ...recordKey(RecordKind.Node, identity.nodeId),
        value: JSON.stringify(record),
      }],
      removes: [],
    },
    timeoutMs: REGISTER_TIMEOUT_MS,
    replyTo: replyTo(REGISTRATION_ANSWERED, null),
  });
}

/**
 * Requests links to the live standbys and offers these as relays. A node that
 * is no standby itself dials them, since they don't list it.
 */
export function connectNodes(update: Update): void {
  const { nodeId } = update.service(NODE_IDENTITY);
  const peers = liveStandbys(update)
    .filter((node) => node.nodeId !== nodeId && node.address !== "")
    .map((node) => ({ nodeId: node.nodeId, address: node.address }));
  update.emit(nodeEffect({
    kind: EffectKind.ConnectPeers,
    peers,
    alwaysDials: !update.read(REPLICA).isStandby,
  }));
  update.dispatch(RELAYS_KNOWN, { peers: peers.map((peer) => peer.nodeId) });
}

/** Returns all live nodes, including this one. */
export function liveNodes(update: Update) {
  return [...update.read(REPLICA).nodes.values()]
    .filter((node) => isLive(update, node));
}

/** Returns the live nodes that keep a copy of all records. */
export function liveStandbys(update: Update): KnownNode[] {
  return liveNodes(update).filter(({ isStandby }) => isStandby !== false);
}

/** Returns whether every live node takes settled occurrences for done. */
export function allReadSettled(update: Update): boolean {
  return liveNodes(update).every(({ readsSettled }) => readsSettled === true);
}

/** Returns true if the node has renewed its record recently. */
export function isLive(update: Update, node: KnownNode): boolean {
  return update.now - node.seenMs <= NODE_EXPIRY_MS;
}
