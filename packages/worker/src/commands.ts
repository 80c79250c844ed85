import type { SyncCall } from "@mustardweir/protocol";

/**
 * Returns whether a call carries commands for the worker. The reply to such a
 * call is sent at once, whatever its `waitMs`.
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
