import type { Update } from "@mustardweir/kernel";
import { logChange } from "@mustardweir/protocol";
import { livePeers } from "./nodes.ts";
import { TENURE, TenurePhase } from "./tenure_state.ts";

/** Weight of the newest tick in the smoothed lag. */
const SMOOTHING = 0.1;
/**
 * An owner whose timers are this late hands the domain over, in milliseconds.
 * A sound node's lag stays under a tenth of it.
 */
const MAX_LAG_MS = 90;
/** A new owner has this long to work off what it found, in milliseconds. */
const MIN_TENURE_MS = 5_000;
/** One long pause says nothing about the ticks that follow. */
const MAX_SAMPLE_MS = 400;

/** Takes the time since the last tick into the smoothed lag. */
export function measureLag(update: Update, tickMs: number): void {
  const tenure = update.write(TENURE);
  const lateMs = Math.max(0, update.now - tenure.lastTickMs - tickMs);
  tenure.lastTickMs = update.now;
  tenure.lagMs += SMOOTHING * (Math.min(lateMs, MAX_SAMPLE_MS) - tenure.lagMs);
}

/** Hands the domain over when this node has become too slow to own it. */
export function considerRelease(update: Update): void {
  const tenure = update.write(TENURE);
  const isSlow = tenure.phase === TenurePhase.Owner &&
    tenure.lagMs > MAX_LAG_MS && update.now - tenure.gainedMs > MIN_TENURE_MS;
  if (isSlow && !tenure.isReleasing && livePeers(update).length > 1) {
    tenure.isReleasing = true;
    update.emit(logChange("Handing the domain over, this node is slow", {
      lagMs: Math.round(tenure.lagMs),
    }));
  }
}
