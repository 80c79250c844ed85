import { createStateKey, type Update } from "@mustardweir/kernel";
import type { OwnedUnit } from "@mustardweir/protocol";
import { OWNERSHIP } from "./ownership.ts";
import { PEERS } from "./peers.ts";

export interface ClaimsHeardState {
  /** Highest epoch that any node has claimed for a unit. */
  readonly epochs: Map<string, number>;
}

/** Kept apart from the peers' views: a claim outlives who made it. */
export const CLAIMS_HEARD = createStateKey<ClaimsHeardState>("claims-heard");

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

/** The highest epoch known of each unit, from rows and from claims. */
export function newestEpochs(update: Update): Map<string, number> {
  const newest = new Map(update.read(CLAIMS_HEARD).epochs);
  const raise = (unit: string, epoch: number) =>
    newest.set(unit, Math.max(newest.get(unit) ?? 0, epoch));
  for (const [unit, { row }] of update.read(OWNERSHIP).rows) {
    raise(unit, row.epoch);
  }
  for (const { heartbeat } of update.read(PEERS).views.values()) {
    heartbeat.owned.forEach(({ unit, epoch }) => raise(unit, epoch));
  }
  return newest;
}
