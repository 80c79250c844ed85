import { createStateKey } from "@mustardweir/kernel";

/** A scheduler that may take a unit over without a write. */
export interface Successor {
  readonly nodeId: string;
  /** Reserved for this successor; above the owner's epoch. */
  readonly epoch: number;
}

/** Who owns a home or a slice, as kept in the table. */
export interface OwnershipRow {
  /** Empty when the last owner has released the unit. */
  readonly owner: string;
  readonly epoch: number;
  /** In the order in which they take over. */
  readonly successors: readonly Successor[];
}

/** A row with its version in the table. */
export interface VersionedOwnership {
  readonly row: OwnershipRow;
  readonly version: number;
}

export interface OwnershipState {
  /** By unit, see {@link homeUnit} and {@link sliceUnit}. */
  readonly rows: Map<string, VersionedOwnership>;
  /** Revision of the table up to which `rows` is known. */
  revision: number;
  /** When the last successful scan began; -Infinity before the first. */
  scannedAt: number;
}

export const OWNERSHIP = createStateKey<OwnershipState>("ownership");

/** Prefix of the table keys of ownership rows. */
export const OWNERSHIP_PREFIX = "owner/";

/** The unit of a team's home. */
export function homeUnit(team: string): string {
  return `home/${team}`;
}

/** What the units of slices begin with. */
export const SLICE_UNIT_PREFIX = "slice/";

/** The unit of a slice. */
export function sliceUnit(sliceId: string): string {
  return `${SLICE_UNIT_PREFIX}${sliceId}`;
}

/**
 * The node that owns `unit`, as far as this node knows.
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
