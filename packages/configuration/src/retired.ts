import { type Inventory, sliceFleet } from "@mustardweir/model";
import * as z from "zod";

/** Time for which a removed instance is recorded, in milliseconds. */
const KEPT_MS = 10 * 60 * 1_000;

/** Maximum number of recorded instances; the most recent are kept. */
const MAX_RETIRED = 2_000;

/** Validates a record of an instance that was removed from its slice. */
export const retiredInstanceSchema = z.object({
  id: z.string(),
  address: z.string(),
  /** The slice from which it was removed. */
  sliceId: z.string(),
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  leftAtMs: z.number(),
});

/**
 * An instance that an edit removed from a slice. Its worker may still run
 * tasks, so a later owner of the slice must query it or wait until its leases
 * expire.
 */
export type RetiredInstance = z.infer<typeof retiredInstanceSchema>;

/** The inventories before and after an edit, and earlier removals. */
export interface RetireOptions {
  readonly known: readonly RetiredInstance[];
  readonly base: Inventory;
  readonly edited: Inventory;
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  readonly wallMs: number;
}

/**
 * Returns the removed instances to record after an edit of the inventory.
 *
 * @example
 * ```ts
 * const retired = retireInstances({ known: [], base, edited, wallMs });
 * ```
 */
export function retireInstances(options: RetireOptions): RetiredInstance[] {
  const { known, base, edited, wallMs } = options;
  const present = new Set(listPlaces(edited).map(placeKey));
  const left = listPlaces(base).map((place) => ({
    ...place,
    leftAtMs: wallMs,
  }));
  const recent = known.filter(({ leftAtMs }) => wallMs - leftAtMs < KEPT_MS);
  return [...left, ...recent]
    .filter((place) => !present.has(placeKey(place)))
    .slice(0, MAX_RETIRED);
}

/** An instance in a slice. */
type Place = Omit<RetiredInstance, "leftAtMs">;

function listPlaces(inventory: Inventory): Place[] {
  return sliceFleet(inventory).flatMap(({ sliceId, instances }) =>
    instances.map(({ spec }) => ({
      id: spec.id,
      address: spec.address,
      sliceId,
    }))
  );
}

function placeKey({ sliceId, id }: Place): string {
  return `${sliceId} ${id}`;
}
