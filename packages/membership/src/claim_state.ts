import { createStateKey, type Update } from "@mustardweir/kernel";
import { NODE_IDENTITY } from "@mustardweir/protocol";
import { alivePeers, PEERS } from "./peers.ts";
import type { Candidate } from "./rendezvous.ts";

/** A home or slice that must have an owner. */
export interface NeededUnit {
  readonly unit: string;
  /** Candidates in this zone rank first; empty for homes. */
  readonly availabilityZone: string;
}

/** State of the claims and releases of units. */
export interface ClaimState {
  /** When the first check for units ran, in milliseconds. */
  startedAt: number | undefined;
  /** Units whose claim or release is in flight. */
  readonly inFlight: Set<string>;
  needed: readonly NeededUnit[];
  /** Version of the configuration that `needed` was listed from. */
  neededVersion: number;
  /**
   * By live scheduler: the time since which its heartbeats have arrived without
   * a gap.
   */
  readonly aliveSince: Map<string, number>;
  stopRequestedAt: number | undefined;
}

/** State key of {@link ClaimState}. */
export const CLAIMS = createStateKey<ClaimState>("claims");

/**
 * Updates the time since which each scheduler's heartbeats have arrived without
 * a gap.
 */
export function trackAlive(update: Update, claims: ClaimState): void {
  const alive = new Set(
    alivePeers(update.read(PEERS), update.now).map(
      (view) => view.heartbeat.nodeId,
    ),
  );
  for (const nodeId of [...claims.aliveSince.keys()]) {
    if (!alive.has(nodeId)) {
      claims.aliveSince.delete(nodeId);
    }
  }
  for (const nodeId of alive) {
    if (!claims.aliveSince.has(nodeId)) {
      claims.aliveSince.set(nodeId, update.now);
    }
  }
}

/** Returns true while heartbeats of the scheduler arrive. */
export function isAlive(update: Update, nodeId: string): boolean {
  return update.read(CLAIMS).aliveSince.has(nodeId);
}

/** Returns the schedulers that may own a unit, including this one. */
export function listCandidates(update: Update): Candidate[] {
  const { nodeId, availabilityZone } = update.service(NODE_IDENTITY);
  const peers = alivePeers(update.read(PEERS), update.now)
    .filter((view) => !view.heartbeat.stopping)
    .map(({ heartbeat }) => ({
      nodeId: heartbeat.nodeId,
      availabilityZone: heartbeat.availabilityZone,
    }));
  return [{ nodeId, availabilityZone }, ...peers];
}
