import { type Inventory, sliceFleet } from "@mustardweir/model";
import { z } from "zod";

/** How long an instance that left is remembered, in milliseconds. */
const KEPT_MS = 10 * 60 * 1_000;

/** Most instances that are remembered; the newest stay. */
const MAX_RETIRED = 2_000;

/** An instance that left the inventory while its worker may still run tasks. */
export const retiredInstanceSchema = z.object({
  id: z.string(),
  address: z.string(),
  /** The slice that it left. */
  sliceId: z.string(),
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  leftAtMs: z.number(),
});

/**
 * An instance that an edit took out of a slice. It may still run tasks, so a
 * later owner of the slice has to ask it, or to let its leases lapse.
 */
export type RetiredInstance = z.infer<typeof retiredInstanceSchema>;

/** The inventories before and after an edit, and what had left before. */
export interface RetireOptions {
  readonly known: readonly RetiredInstance[];
  readonly base: Inventory;
  readonly edited: Inventory;
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  readonly wallMs: number;
}

/**
 * The instances to be remembered after an edit of the inventory.
 *
 * @example
 * ```ts
 * const retired = retireInstances({ known: [], base, edited, wallMs });
 * ```
 */
export function retireInstances(options: RetireOptions): RetiredInstance[] {
  const { known, base, edited, wallMs } = options;
  const present = new Set(listPlaces(edited).map(nameOf));
  const left = listPlaces(base).map((place) => ({
    ...place,
    leftAtMs: wallMs,
  }));
  const recent = known.filter(({ leftAtMs }) => wallMs - leftAtMs < KEPT_MS);
  return [...left, ...recent]
    .filter((place) => !present.has(nameOf(place)))
    .slice(0, MAX_RETIRED);
}

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

function nameOf({ sliceId, id }: Place): string {
  return `${sliceId} ${id}`;
}
