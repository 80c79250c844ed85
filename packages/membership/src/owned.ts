import {
  createCommand,
  createStateKey,
  type Update,
} from "@mustardweir/kernel";
import { PEER_CLAIMS } from "./claims.ts";
import { OWNERSHIP } from "./ownership.ts";

/** A unit that this node owns. */
export interface Owned {
  readonly epoch: number;
  /** Version of the ownership row; transactions check it. */
  readonly version: number;
  /** When this node became the owner, in milliseconds. */
  readonly acquiredAt: number;
  /** Whether the unit had no owner before, so that nothing is recovered. */
  readonly isFirstOwner: boolean;
  /** Whether the epoch is a reserved one that the row doesn't show yet. */
  readonly isReserved?: boolean;
}

/** The units that this node owns. */
export interface OwnedState {
  readonly units: Map<string, Owned>;
  /** Latest time at which it was confirmed that no unit was taken over. */
  confirmedAt: number;
}

/** State key of {@link OwnedState}. */
export const OWNED = createStateKey<OwnedState>("owned");

/** Dispatched when this node has become the owner of a unit. */
export const UNIT_ACQUIRED = createCommand<{
  readonly unit: string;
  readonly owned: Owned;
}>("unit-acquired");

/** Dispatched when this node no longer owns a unit. */
export const UNIT_LOST = createCommand<{ readonly unit: string }>("unit-lost");

/** Requests that a unit be given up, since its epoch is now a higher one. */
export const UNIT_SUPERSEDED = createCommand<{
  readonly unit: string;
  readonly epoch: number;
}>("unit-superseded");

/**
 * An owner that can't confirm its ownership for this long stops acting on it
 * and stops renewing leases, in milliseconds.
 */
export const OWNERSHIP_CONFIRMATION_MS = 4_000;

/** Returns true while this node may act on the units that it owns. */
export function isOwnershipConfirmed(update: Update): boolean {
  const { confirmedAt } = update.read(OWNED);
  return update.now - confirmedAt <= OWNERSHIP_CONFIRMATION_MS;
}

/** An owner and the epoch it owns under. */
export interface Owner {
  readonly nodeId: string;
  readonly epoch: number;
}

/**
 * Returns the owner of a unit with the highest epoch, from its ownership row
 * and from the claims of peers; undefined if it has none.
 */
export function resolveOwner(update: Update, unit: string): Owner | undefined {
  let owner: Owner | undefined;
  const row = update.read(OWNERSHIP).rows.get(unit)?.row;
  if (row !== undefined && row.owner !== "") {
    owner = { nodeId: row.owner, epoch: row.epoch };
  }
  let newest = row?.epoch ?? 0;
  for (
    const [nodeId, epoch] of update.read(PEER_CLAIMS).claimants.get(unit) ?? []
  ) {
    if (epoch > newest) {
      newest = epoch;
      owner = { nodeId, epoch };
    }
  }
  return owner;
}
