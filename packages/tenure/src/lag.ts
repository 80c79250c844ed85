import type { Update } from "@mustardweir/kernel";
import { logChange, NODE_IDENTITY } from "@mustardweir/protocol";
import { type KnownNode, REPLICA } from "@mustardweir/replica";
import { liveStandbys } from "./nodes.ts";
import { orderCandidates } from "./strength.ts";
import { TENURE, TenurePhase } from "./tenure_state.ts";

/** Weight of the newest tick in the smoothed lag. */
const SMOOTHING = 0.1;
/**
 * An owner whose smoothed timer lag exceeds this hands the domain over, in
 * milliseconds. The lag of a healthy node stays under a tenth of it.
 */
const MAX_LAG_MS = 90;
/**
 * An owner doesn't hand over within this time of its takeover, in milliseconds:
 * it may lag while it works off the backlog. Doubles with each hand-over in a
 * row for the same reason, since then it isn't the node that is slow.
 */
const MIN_TENURE_MS = 5_000;
/** Highest number of such hand-overs that counts. */
const MAX_SLOW_HANDOVERS = 6;
/**
 * A successor's own lag is at most this share of {@link MAX_LAG_MS}, so that it
 * has processor time to spare.
 */
const MAX_SUCCESSOR_LAG_SHARE = 0.3;
/**
 * Delay of a tick that is ordinary scheduling, in milliseconds; what is beyond
 * it counts as time in which this process could read nothing.
 */
const MIN_STALL_MS = 20;
/**
 * Longest delay of one tick that enters the smoothed lag, in milliseconds, so
 * that a single long pause doesn't count as a slow node.
 */
const MAX_SAMPLE_MS = 400;

/** Updates the smoothed lag with the delay of the current tick. */
export function measureLag(update: Update, tickMs: number): void {
  const tenure = update.write(TENURE);
  const lateMs = Math.max(0, update.now - tenure.lastTickMs - tickMs);
  tenure.lastTickMs = update.now;
  tenure.lagMs += SMOOTHING * (Math.min(lateMs, MAX_SAMPLE_MS) - tenure.lagMs);
  tenure.stalledMs += lateMs > MIN_STALL_MS ? lateMs : 0;
}

/**
 * Starts the hand-over of the domain if this node is too slow to own it and
 * another one is as strong and has time to spare.
 */
export function releaseIfSlow(update: Update): void {
  const tenure = update.write(TENURE);
  const minTenureMs = MIN_TENURE_MS * 2 ** tenure.slowHandovers;
  const isSlow = tenure.phase === TenurePhase.Owner &&
    tenure.lagMs > MAX_LAG_MS && update.now - tenure.gainedMs > minTenureMs;
  if (isSlow && !tenure.isReleasing && findFasterNode(update) !== undefined) {
    tenure.isReleasing = true;
    tenure.slowHandovers = Math.min(
      tenure.slowHandovers + 1,
      MAX_SLOW_HANDOVERS,
    );
    update.emit(logChange("Handing the domain over, this node is slow", {
      lagMs: Math.round(tenure.lagMs),
      handovers: tenure.slowHandovers,
    }));
  }
}

/**
 * Returns the best node to hand the domain to that is at least as strong as
 * this one and reports a low lag.
 */
export function findFasterNode(update: Update): KnownNode | undefined {
  const { nodeId } = update.service(NODE_IDENTITY);
  const own = update.read(REPLICA).nodes.get(nodeId)?.strength ?? 0;
  return orderCandidates(liveStandbys(update)).find((node) =>
    node.nodeId !== nodeId && (node.strength ?? 0) >= own &&
    (node.lagMs ?? Infinity) <= MAX_LAG_MS * MAX_SUCCESSOR_LAG_SHARE
  );
}
