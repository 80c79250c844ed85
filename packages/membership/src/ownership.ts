import { createStateKey } from "@mustardweir/kernel";

/** A scheduler that may take a unit over without a write to the table. */
export interface Successor {
  readonly nodeId: string;
  /** Epoch reserved for this successor; above the owner's epoch. */
  readonly epoch: number;
}

/** The row of the table that names the owner of a home or a slice. */
export interface OwnershipRow {
  /** Empty when the last owner has released the unit. */
  readonly owner: string;
  readonly epoch: number;
  /** In the order in which they may take over. */
  readonly successors: readonly Successor[];
}

/** A row with its version in the table. */
export interface VersionedOwnership {
  readonly row: OwnershipRow;
  readonly version: number;
}

/** This node's copy of the ownership rows. */
export interface OwnershipState {
  /** By unit, see {@link homeUnit} and {@link sliceUnit}. */
  readonly rows: Map<string, VersionedOwnership>;
  /** Revision of the table up to which `rows` is current. */
  revision: number;
  /** When the last successful scan started; -Infinity before the first. */
  scannedAt: number;
}

/** State key of {@link OwnershipState}. */
export const OWNERSHIP = createStateKey<OwnershipState>("ownership");

/** Prefix of the table keys of ownership rows. */
export const OWNERSHIP_PREFIX = "owner/";

/** Returns the unit of a team's home. */
export function homeUnit(team: string): string {
  return `home/${team}`;
}

/** Prefix of the units of slices. */
export const SLICE_UNIT_PREFIX = "slice/";

/** Returns the unit of a slice. */
export function sliceUnit(sliceId: string): string {
  return `${SLICE_UNIT_PREFIX}${sliceId}`;
}

/**
 * Returns the owner of `unit` in this node's copy of the ownership rows.
 *
 * @example
 * ```ts
 * const home = ownerOf(update.read(OWNERSHIP), homeUnit("storefront"));
 * ```
 */
export function ownerOf(
  state: Readonly<OwnershipState>,
  unit: string,
): string | undefined {
  const owner = state.rows.get(unit)?.row.owner;
  return owner === "" ? undefined : owner;
}
