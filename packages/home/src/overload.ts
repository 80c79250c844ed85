import type { Home } from "./home_state.ts";

/** Fewer waiting requests than this are never too many. */
const MIN_WAITING = 128;

/** Requests a second that are expected to start when hardly any did. */
const MIN_RATE = 50;

/**
 * Starts tell what the fleet can do, and not what was asked of it, when
 * requests have waited for this long, in milliseconds.
 */
const CROWDED_MS = 2_000;

/**
 * True when a request that is handed in now could not start within `limitMs`
 * behind those that wait, at the rate at which requests started lately.
 */
export function isHopeless(home: Home, limitMs: number, now: number): boolean {
  const waiting = home.urgent.waitingRequests + home.normal.waitingRequests;
  if (waiting < MIN_WAITING) {
    home.crowdedSince = undefined;
    return false;
  }
  home.crowdedSince ??= now;
  const rate = home.requestStarts.perSecond(now);
  if (rate === undefined || now - home.crowdedSince < CROWDED_MS) {
    return false;
  }
  return waiting > Math.max(rate, MIN_RATE) * limitMs / 1_000;
}
