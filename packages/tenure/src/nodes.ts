import { createCommand, type Update } from "@mustardweir/kernel";
import {
  type Answered,
  EffectKind,
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
} from "@mustardweir/replica";
import { callStore, RELAYS_KNOWN } from "@mustardweir/store-route";

const REGISTER_TIMEOUT_MS = 1_000;
/** Nodes that were not heard of for so long are not counted on, in ms. */
const NODE_EXPIRY_MS = 7_000;

/** A node's registration has been answered; the next one repeats it. */
export const REGISTRATION_ANSWERED = createCommand<
  Answered<null, RecordCommitResult>
>("registration-answered");

/** Renews this node's record, so that peers find it. */
export function registerNode(update: Update): void {
  const identity = update.service(NODE_IDENTITY);
  const record: NodeRecord = {
    address: identity.peerAddress ?? "",
    incarnation: identity.incarnation,
    zone: identity.availabilityZone,
    unixOffsetMs: update.read(REPLICA).unixOffsetMs,
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

/** Has links held with all live nodes. */
export function connectNodes(update: Update): void {
  const { nodeId } = update.service(NODE_IDENTITY);
  const peers = livePeers(update)
    .filter((node) => node.nodeId !== nodeId && node.address !== "")
    .map((node) => ({ nodeId: node.nodeId, address: node.address }));
  update.emit(nodeEffect({ kind: EffectKind.ConnectPeers, peers }));
  update.dispatch(RELAYS_KNOWN, { peers: peers.map((peer) => peer.nodeId) });
}

/** All nodes that are live, this one among them. */
export function livePeers(update: Update) {
  return [...update.read(REPLICA).nodes.values()]
    .filter((node) => isLive(update, node));
}

/** True when the node has renewed its record lately. */
export function isLive(update: Update, node: KnownNode): boolean {
  return update.now - node.seenMs <= NODE_EXPIRY_MS;
}
