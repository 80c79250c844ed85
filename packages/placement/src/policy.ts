import { createServiceKey, type Random } from "@mustardweir/kernel";
import type { Resources } from "@mustardweir/model";
import type { InstanceTable } from "./instance_table.ts";

/** One task that looks for an instance. */
export interface PlacementQuery {
  readonly size: Resources;
  /**
   * How many tasks of the same service run on an instance or in its rack;
   * given for work that should be spread.
   */
  readonly crowding?: (index: number) => number;
}

/** No instance has room. */
export const NO_INSTANCE = -1;

/** Chooses the instance that a task starts on. */
export abstract class PlacementPolicy {
  abstract readonly name: string;

  /** The index of an instance with room for the request, or -1. */
  abstract choose(
    table: InstanceTable,
    request: PlacementQuery,
    random: Random,
  ): number;
}

/** The policy that slices place by. */
export const PLACEMENT_POLICY = createServiceKey<PlacementPolicy>(
  "placement-policy",
);
