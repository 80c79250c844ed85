import type { Update } from "@mustardweir/kernel";
import {
  logChange,
  NODE_IDENTITY,
  type OwnedUnit,
} from "@mustardweir/protocol";
import { recordClaims } from "./claims.ts";
import { sendHeartbeat } from "./heartbeat_plugin.ts";
import { OWNED, type Owned, UNIT_ACQUIRED, UNIT_LOST } from "./owned.ts";
import { OWNERSHIP } from "./ownership.ts";

/** Makes this node the owner of a unit and sends a heartbeat to all peers. */
export function acquireUnit(update: Update, unit: string, owned: Owned): void {
  update.write(OWNED).units.set(unit, owned);
  update.emit(logChange("Unit acquired", { unit, epoch: owned.epoch }));
  update.dispatch(UNIT_ACQUIRED, { unit, owned });
  sendHeartbeat(update);
}

/**
 * Ends this node's ownership of a unit. Its epoch counts as claimed from then
 * on: taken again under it, the unit would number its starts anew, and orders of
 * the former tenure would still be carried out.
 */
export function loseUnit(update: Update, unit: string): void {
  const { units } = update.write(OWNED);
  const owned = units.get(unit);
  if (owned === undefined) {
    return;
  }
  units.delete(unit);
  recordClaims(update, [{ unit, epoch: owned.epoch }]);
  update.emit(logChange("Unit lost", { unit }));
  update.dispatch(UNIT_LOST, { unit });
}

/** Gives a unit up if its row names another owner or a higher epoch. */
export function checkRow(update: Update, unit: string): void {
  const owned = update.read(OWNED).units.get(unit);
  const row = update.read(OWNERSHIP).rows.get(unit)?.row;
  if (owned === undefined || row === undefined) {
    return;
  }
  const { nodeId } = update.service(NODE_IDENTITY);
  const isOther = row.epoch === owned.epoch && row.owner !== nodeId;
  if (row.epoch > owned.epoch || isOther) {
    loseUnit(update, unit);
  }
}

/** Gives up the units that others claim under a higher epoch. */
export function checkClaims(
  update: Update,
  claims: readonly { readonly unit: string; readonly epoch: number }[],
): void {
  for (const { unit, epoch } of claims) {
    const owned = update.read(OWNED).units.get(unit);
    if (owned !== undefined && owned.epoch < epoch) {
      loseUnit(update, unit);
    }
  }
}

/** Records that none of this node's units had been taken over at `at`. */
export function confirmOwnership(update: Update, at: number): void {
  const owned = update.write(OWNED);
  owned.confirmedAt = Math.max(owned.confirmedAt, at);
}

/** Adds this node's units to the claims of a vouch request. */
export function addOwnClaims(owned: OwnedUnit[], update: Update): void {
  for (const [unit, { epoch }] of update.read(OWNED).units) {
    owned.push({ unit, epoch });
  }
}
