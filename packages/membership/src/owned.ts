import {
  createCommand,
  createStateKey,
  type Update,
} from "@mustardweir/kernel";
import { CLAIMS_HEARD } from "./claims.ts";
import { OWNERSHIP } from "./ownership.ts";

/** A unit that this node owns. */
export interface Owned {
  readonly epoch: number;
  /** Version of the ownership row; transactions check it. */
  readonly version: number;
  readonly acquiredAt: number;
  /** True when no owner came before, so nothing has to be recovered. */
  readonly isFirstOwner: boolean;
  /** True while the row doesn't show this owner yet. */
  readonly isReserved?: boolean;
}

export interface OwnedState {
  readonly units: Map<string, Owned>;
  /** When this node last knew that none of its units was taken over. */
  confirmedAt: number;
}

export const OWNED = createStateKey<OwnedState>("owned");

/** Dispatched when this node has become the owner of a unit. */
export const UNIT_ACQUIRED = createCommand<{
  readonly unit: string;
  readonly owned: Owned;
}>("unit-acquired");

/** Dispatched when this node has ceased to own a unit. */
export const UNIT_LOST = createCommand<{ readonly unit: string }>("unit-lost");

/** Gives a unit up because a higher epoch was seen. */
export const UNIT_SUPERSEDED = createCommand<{
  readonly unit: string;
  readonly epoch: number;
}>("unit-superseded");

/**
 * An owner that can't confirm its ownership for this long stops acting on it
 * and stops renewing leases, in milliseconds.
 */
export const OWNERSHIP_CONFIRMATION_MS = 4_000;

/** True while this node may act on the units it owns. */
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
 * The newest known owner of a unit, from the table's rows and from what peers
 * say of themselves.
 */
export function resolveOwner(update: Update, unit: string): Owner | undefined {
  let owner: Owner | undefined;
  const row = update.read(OWNERSHIP).rows.get(unit)?.row;
  if (row !== undefined && row.owner !== "") {
    owner = { nodeId: row.owner, epoch: row.epoch };
  }
  let newest = row?.epoch ?? 0;
  for (
    const [nodeId, epoch] of update.read(CLAIMS_HEARD).claimants.get(unit) ?? []
  ) {
    if (epoch > newest) {
      newest = epoch;
      owner = { nodeId, epoch };
    }
  }
  return owner;
}
