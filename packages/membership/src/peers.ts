import { createStateKey } from "@mustardweir/kernel";
import type { Heartbeat } from "@mustardweir/protocol";

/** The latest heartbeat of a scheduler. */
export interface PeerView {
  readonly heartbeat: Heartbeat;
  /** When it arrived, by the clock of this node, in milliseconds. */
  readonly receivedAt: number;
}

/** The latest heartbeats of the other schedulers. */
export interface PeersState {
  /** By node id; schedulers only, this node not included. */
  readonly views: Map<string, PeerView>;
}

/** State key of {@link PeersState}. */
export const PEERS = createStateKey<PeersState>("peers");

/** A peer without a heartbeat for this long is considered failed, in ms. */
export const PEER_TIMEOUT_MS = 1_500;

/** Time between heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 500;

/**
 * Returns the peers whose last heartbeat is within {@link PEER_TIMEOUT_MS}.
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
    (view) => now - view.receivedAt <= PEER_TIMEOUT_MS,
  );
}
