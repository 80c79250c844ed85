import { createStateKey, type Update } from "@mustardweir/kernel";
import type { Heartbeat, OwnedUnit } from "@mustardweir/protocol";
import { OWNERSHIP } from "./ownership.ts";
import { PEERS } from "./peers.ts";

export interface ClaimsHeardState {
  /** Highest epoch that any node has claimed for a unit. */
  readonly epochs: Map<string, number>;
  /** By unit and node: the epoch that the node last claimed it with. */
  readonly claimants: Map<string, Map<string, number>>;
}

/** Kept apart from the peers' views: a claim outlives who made it. */
export const CLAIMS_HEARD = createStateKey<ClaimsHeardState>("claims-heard");

/** Remembers a heartbeat and what its sender says it owns. */
export function recordHeartbeat(update: Update, heartbeat: Heartbeat): void {
  const { views } = update.write(PEERS);
  const { nodeId, owned } = heartbeat;
  const before = views.get(nodeId)?.heartbeat.owned ?? [];
  views.set(nodeId, { heartbeat, heardAt: update.now });
  const { claimants } = update.write(CLAIMS_HEARD);
  for (const { unit } of before) {
    removeClaimant(claimants, unit, nodeId);
  }
  for (const { unit, epoch } of owned) {
    const epochs = claimants.get(unit) ?? new Map<string, number>();
    claimants.set(unit, epochs.set(nodeId, epoch));
  }
  rememberClaims(update, owned);
}

function removeClaimant(
  claimants: ClaimsHeardState["claimants"],
  unit: string,
  nodeId: string,
): void {
  const epochs = claimants.get(unit);
  epochs?.delete(nodeId);
  if (epochs?.size === 0) {
    claimants.delete(unit);
  }
}

/** Remembers what a node says it owns. */
export function rememberClaims(
  update: Update,
  claims: readonly OwnedUnit[],
): void {
  const { epochs } = update.write(CLAIMS_HEARD);
  for (const { unit, epoch } of claims) {
    epochs.set(unit, Math.max(epochs.get(unit) ?? 0, epoch));
  }
}

/** The highest epoch known of a unit, from its row and from claims. */
export function newestEpoch(update: Update, unit: string): number {
  const claimed = update.read(CLAIMS_HEARD).epochs.get(unit) ?? 0;
  const row = update.read(OWNERSHIP).rows.get(unit)?.row;
  return Math.max(claimed, row?.epoch ?? 0);
}
