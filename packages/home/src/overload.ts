import type { Home } from "./home_state.ts";

/** Requests are not shed while fewer than this are waiting. */
const MIN_WAITING_REQUESTS = 128;

/**
 * Lowest rate of starts per second that is assumed when hardly any were seen.
 */
const MIN_STARTS_PER_SECOND = 50;

/**
 * How long many requests must have waited, in milliseconds, before the rate of
 * starts shows the capacity of the fleet rather than the demand.
 */
const MIN_BACKLOG_MS = 2_000;

/**
 * True if a request that is submitted now can't start within `limitMs` behind
 * those that wait, at the rate at which requests started recently.
 */
export function shouldShedRequest(
  home: Home,
  limitMs: number,
  now: number,
): boolean {
  const waiting = home.urgent.waitingRequests + home.normal.waitingRequests;
  if (waiting < MIN_WAITING_REQUESTS) {
    home.backloggedSince = undefined;
    return false;
  }
  home.backloggedSince ??= now;
  const rate = home.requestStarts.perSecond(now);
  if (rate === undefined || now - home.backloggedSince < MIN_BACKLOG_MS) {
    return false;
  }
  return waiting > Math.max(rate, MIN_STARTS_PER_SECOND) * limitMs / 1_000;
}
