import type { Update } from "@mustardweir/kernel";
import { logChange, NODE_IDENTITY, Source } from "@mustardweir/protocol";
import { type KnownNode, REPLICA, STANDBY_STARTED } from "@mustardweir/replica";
import { connectNodes, liveNodes, registerNode } from "./nodes.ts";
import { orderCandidates, strengthOf } from "./strength.ts";
import { TENURE } from "./tenure_state.ts";

/**
 * Number of nodes that keep a copy of all records: the owner and enough
 * successors for the loss of several nodes and of a zone.
 */
const STANDBYS = 4;
/**
 * Time that a node waits for the others' first records when the whole system
 * starts for the first time, in milliseconds.
 */
const FIRST_START_WAIT_MS = 1_000;

/**
 * Makes this node a standby if it is one of the strongest that are live. It
 * stays one until its process ends: copying all records again would cost more
 * than following their changes.
 */
export function becomeStandbyIfDue(update: Update): void {
  const { isStandby, sources, summary } = update.read(REPLICA);
  const { isListed } = sources[Source.Fleet];
  const { nodeId } = update.service(NODE_IDENTITY);
  const isDue = summary !== undefined || hasWaited(update, nodeId);
  if (isStandby || !isListed || !isDue) {
    return;
  }
  const others = liveNodes(update).filter((node) => node.nodeId !== nodeId);
  const rank = orderCandidates([...others, ownNode(update)])
    .findIndex((node) => node.nodeId === nodeId);
  if (rank >= STANDBYS) {
    return;
  }
  update.write(REPLICA).isStandby = true;
  update.emit(logChange("Keeping a copy of all records", {
    rank,
    nodes: others.length + 1,
  }));
  registerNode(update);
  connectNodes(update);
  update.dispatch(STANDBY_STARTED, {});
}

/** Returns whether the node's own record was read some time ago. */
function hasWaited(update: Update, nodeId: string): boolean {
  const { incarnation } = update.service(NODE_IDENTITY);
  const own = update.read(REPLICA).nodes.get(nodeId);
  return own?.incarnation === incarnation &&
    update.now - update.read(TENURE).startedMs >= FIRST_START_WAIT_MS;
}

function ownNode(update: Update): KnownNode {
  const identity = update.service(NODE_IDENTITY);
  return {
    nodeId: identity.nodeId,
    address: identity.peerAddress ?? "",
    incarnation: identity.incarnation,
    zone: identity.availabilityZone,
    unixOffsetMs: 0,
    strength: strengthOf(identity),
    seenMs: update.now,
  };
}
