import type { SyncCall } from "@mustardweir/protocol";

/**
 * True when a call tells the worker to do something; such a call is answered
 * at once, whatever time it may wait for news.
 *
 * @example
 * ```ts
 * const waits = call.waitMs > 0 && !hasCommands(call);
 * ```
 */
export function hasCommands(call: SyncCall): boolean {
  return call.starts.length > 0 || call.stops.length > 0 ||
    call.throttles.length > 0 || call.acks.length > 0;
}
