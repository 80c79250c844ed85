import type { Update } from "@mustardweir/kernel";
import { logChange, NODE_IDENTITY, Source } from "@mustardweir/protocol";
import {
  type KnownNode,
  recentSummary,
  REPLICA,
  STANDBY_STARTED,
  type SummaryDraft,
} from "@mustardweir/replica";
import {
  connectNodes,
  isLive,
  liveNodes,
  liveStandbys,
  registerNode,
} from "./nodes.ts";
import { countAsStrong, orderCandidates, strengthOf } from "./strength.ts";
import { TENURE } from "./tenure_state.ts";

/**
 * Number of nodes that keep a copy of all records: the owner and enough
 * successors for the loss of several nodes and of a zone.
 */
const STANDBYS = 4;
/**
 * Time that a node waits for the others' first records when the whole system
 * starts for the first time, in milliseconds: slow nodes take a second or two to
 * start, and a node that doesn't see them would keep a copy for good.
 */
const FIRST_START_WAIT_MS = 2_500;

/**
 * Time without a renewal after which a standby counts as lost while there is no
 * recent summary, in milliseconds: two renewals and the time to read them.
 */
const STANDBY_EXPIRY_MS = 4_500;

/**
 * Makes this node a standby if the owner appoints it or, while there is no
 * recent summary of an owner, if it is one of the strongest that are live. It
 * stays one until its process ends: copying all records again would cost more
 * than following their changes.
 */
export function becomeStandbyIfDue(update: Update): void {
  const { isStandby, sources } = update.read(REPLICA);
  if (isStandby || !sources[Source.Fleet].isListed || !isAppointed(update)) {
    return;
  }
  update.write(REPLICA).isStandby = true;
  update.emit(logChange("Keeping a copy of all records", {
    nodes: liveNodes(update).length,
  }));
  registerNode(update);
  connectNodes(update);
  update.dispatch(STANDBY_STARTED, {});
}

/** Adds the nodes that keep or are to keep a copy to the owner's summary. */
export function addStandbys(update: Update, draft: SummaryDraft): void {
  const { nodeId } = update.service(NODE_IDENTITY);
  const standbys = liveStandbys(update).filter((node) =>
    node.nodeId !== nodeId
  );
  draft.standbys = [ownNode(update), ...standbys].map(
    ({ nodeId, address, incarnation, zone }) => ({
      nodeId,
      address,
      incarnation,
      zone,
    }),
  );
  draft.appointed = listAppointable(liveNodes(update))
    .map((node) => node.nodeId);
}

/**
 * Returns the nodes that are to keep a copy of the records besides those that
 * do: the strongest, while fewer than {@link STANDBYS} as strong keep one.
 */
export function listAppointable(nodes: readonly KnownNode[]): KnownNode[] {
  const standbys = nodes.filter(({ isStandby }) => isStandby !== false);
  return orderCandidates(nodes).slice(0, STANDBYS).filter((node) =>
    node.isStandby === false &&
    countAsStrong(standbys, node) < STANDBYS
  );
}

function isAppointed(update: Update): boolean {
  const { nodeId } = update.service(NODE_IDENTITY);
  const summary = recentSummary(update);
  if (summary !== undefined) {
    // An earlier process of this node kept a copy.
    const keptCopy = summary.standbys?.some((node) => node.nodeId === nodeId);
    return keptCopy === true || summary.appointed?.includes(nodeId) === true;
  }
  const isFirstStart = update.read(REPLICA).summary === undefined;
  if (!followsNodes(update, nodeId) || (isFirstStart && !hasWaited(update))) {
    return false;
  }
  const others = liveNodes(update).filter((node) =>
    node.nodeId !== nodeId && !isLostStandby(update, node)
  );
  return listAppointable([...others, ownNode(update)])
    .some((node) => node.nodeId === nodeId);
}

/**
 * Returns whether this node has read its own record lately, and so the records
 * of the others: those that it kept while it read summaries only are too old to
 * tell who is live.
 */
function followsNodes(update: Update, nodeId: string): boolean {
  const { incarnation } = update.service(NODE_IDENTITY);
  const own = update.read(REPLICA).nodes.get(nodeId);
  return own?.incarnation === incarnation && isLive(update, own);
}

/**
 * Returns whether the node kept a copy and has missed renewals. While there is no
 * recent summary, one copy too many harms less than a domain without an owner.
 */
function isLostStandby(
  update: Update,
  { isStandby, seenMs }: KnownNode,
): boolean {
  return isStandby !== false && update.now - seenMs > STANDBY_EXPIRY_MS;
}

function hasWaited(update: Update): boolean {
  return update.now - update.read(TENURE).startedMs >= FIRST_START_WAIT_MS;
}

function ownNode(update: Update): KnownNode {
  const identity = update.service(NODE_IDENTITY);
  return {
    nodeId: identity.nodeId,
    address: identity.peerAddress ?? "",
    incarnation: identity.incarnation,
    zone: identity.availabilityZone,
    unixOffsetMs: update.read(REPLICA).unixOffsetMs,
    strength: strengthOf(identity),
    isStandby: update.read(REPLICA).isStandby,
    seenMs: update.now,
  };
}
