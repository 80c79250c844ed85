import { createStateKey, type Update } from "@mustardweir/kernel";
import { NODE_IDENTITY } from "@mustardweir/protocol";
import { alivePeers, PEERS } from "./peers.ts";
import type { Candidate } from "./rendezvous.ts";

/** A home or slice that must have an owner. */
export interface NeededUnit {
  readonly unit: string;
  /** Candidates in this zone go first; empty for homes. */
  readonly availabilityZone: string;
}

export interface ClaimState {
  startedAt: number | undefined;
  readonly inFlight: Set<string>;
  needed: readonly NeededUnit[];
  neededVersion: number;
  /** When each alive scheduler was first heard without a gap. */
  readonly aliveSince: Map<string, number>;
  stopRequestedAt: number | undefined;
}

export const CLAIMS = createStateKey<ClaimState>("claims");

/** Follows which schedulers have been heard from without a gap. */
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

/** True while the scheduler is heard from. */
export function isAlive(update: Update, nodeId: string): boolean {
  return update.read(CLAIMS).aliveSince.has(nodeId);
}

/** The schedulers that may take a unit over, this one among them. */
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
