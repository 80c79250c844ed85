import { createStateKey, type Update } from "@mustardweir/kernel";
import type { Heartbeat, OwnedUnit } from "@mustardweir/protocol";
import { OWNERSHIP } from "./ownership.ts";
import { PEERS } from "./peers.ts";

/** The claims in messages of peers. */
export interface PeerClaimsState {
  /** Highest epoch that a peer has claimed, or this node given up, by unit. */
  readonly epochs: Map<string, number>;
  /** By unit and node: the epoch in the node's latest heartbeat. */
  readonly claimants: Map<string, Map<string, number>>;
}

/** Kept apart from {@link PEERS}: a claim stays valid after its node failed. */
export const PEER_CLAIMS = createStateKey<PeerClaimsState>("claims-heard");

/** Stores a heartbeat and records its sender's claims. */
export function recordHeartbeat(update: Update, heartbeat: Heartbeat): void {
  const { views } = update.write(PEERS);
  const { nodeId, owned } = heartbeat;
  const before = views.get(nodeId)?.heartbeat.owned ?? [];
  views.set(nodeId, { heartbeat, receivedAt: update.now });
  const { claimants } = update.write(PEER_CLAIMS);
  for (const { unit } of before) {
    removeClaimant(claimants, unit, nodeId);
  }
  for (const { unit, epoch } of owned) {
    const epochs = claimants.get(unit) ?? new Map<string, number>();
    claimants.set(unit, epochs.set(nodeId, epoch));
  }
  recordClaims(update, owned);
}

function removeClaimant(
  claimants: PeerClaimsState["claimants"],
  unit: string,
  nodeId: string,
): void {
  const epochs = claimants.get(unit);
  epochs?.delete(nodeId);
  if (epochs?.size === 0) {
    claimants.delete(unit);
  }
}

/** Raises the highest claimed epochs to those of a node's claims. */
export function recordClaims(
  update: Update,
  claims: readonly OwnedUnit[],
): void {
  const { epochs } = update.write(PEER_CLAIMS);
  for (const { unit, epoch } of claims) {
    epochs.set(unit, Math.max(epochs.get(unit) ?? 0, epoch));
  }
}

/** Returns the highest epoch of a unit in its row and in claims; 0 for none. */
export function newestEpoch(update: Update, unit: string): number {
  const claimed = update.read(PEER_CLAIMS).epochs.get(unit) ?? 0;
  const row = update.read(OWNERSHIP).rows.get(unit)?.row;
  return Math.max(claimed, row?.epoch ?? 0);
}
