import type { Update } from "@mustardweir/kernel";
import { logChange } from "@mustardweir/protocol";
import { liveNodes } from "./nodes.ts";
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
 * it may lag while it works off the backlog.
 */
const MIN_TENURE_MS = 5_000;
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
}

/** Starts the hand-over of the domain if this node is too slow to own it. */
export function releaseIfSlow(update: Update): void {
  const tenure = update.write(TENURE);
  const isSlow = tenure.phase === TenurePhase.Owner &&
    tenure.lagMs > MAX_LAG_MS && update.now - tenure.gainedMs > MIN_TENURE_MS;
  if (isSlow && !tenure.isReleasing && liveNodes(update).length > 1) {
    tenure.isReleasing = true;
    update.emit(logChange("Handing the domain over, this node is slow", {
      lagMs: Math.round(tenure.lagMs),
    }));
  }
}
