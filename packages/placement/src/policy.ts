import { createServiceKey, type Random } from "@mustardweir/kernel";
import type { Resources } from "@mustardweir/model";
import type { InstanceTable } from "./instance_table.ts";

/** A task for which an instance is sought. */
export interface PlacementQuery {
  readonly size: Resources;
  /**
   * Rates an instance by the tasks of the same service there and in its rack,
   * lower is better; given for work that should be spread.
   */
  readonly crowding?: (index: number) => number;
}

/** The index that a policy returns when no instance has room. */
export const NO_INSTANCE = -1;

/** Chooses the instance that a task starts on. */
export abstract class PlacementPolicy {
  abstract readonly name: string;

  /** Returns the index of an eligible instance with room, or `NO_INSTANCE`. */
  abstract choose(
    table: InstanceTable,
    request: PlacementQuery,
    random: Random,
  ): number;
}

/** The policy by which slices place tasks. */
export const PLACEMENT_POLICY = createServiceKey<PlacementPolicy>(
  "placement-policy",
);
