import { createStateKey } from "@mustardweir/kernel";
import type { Heartbeat } from "@mustardweir/protocol";

/** What was last heard from a scheduler. */
export interface PeerView {
  readonly heartbeat: Heartbeat;
  /** In the clock of this node, in milliseconds. */
  readonly heardAt: number;
}

export interface PeersState {
  /** By node id; schedulers only, this node not included. */
  readonly views: Map<string, PeerView>;
}

export const PEERS = createStateKey<PeersState>("peers");

/** A peer not heard from for this long is taken for dead, in milliseconds. */
export const PEER_TIMEOUT_MS = 1_500;

/** Time between heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 500;

/**
 * Schedulers heard from lately.
 *
 * @example
 * ```ts
 * const candidates = alivePeers(update.read(PEERS), update.now);
 * ```
 */
export function alivePeers(
  state: Readonly<PeersState>,
  now: number,
): PeerView[] {
  return [...state.views.values()].filter(
    (view) => now - view.heardAt <= PEER_TIMEOUT_MS,
  );
}
