import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import {
  type Configuration,
  fitsWithin,
  instanceCapacity,
  type Resources,
  sliceFleet,
  type SliceSpec,
  ZoneState,
} from "@mustardweir/model";

/** The part of a slice's inventory that homes need. */
export interface SliceOutline {
  readonly spec: SliceSpec;
  /** The distinct capacities of its instances. */
  readonly capacities: readonly Resources[];
}

const outlinesByInventory = new WeakMap<
  Configuration["inventory"],
  readonly SliceOutline[]
>();

/** Returns the slices of the fleet; computed once per inventory. */
export function outlineSlices(update: Update): readonly SliceOutline[] {
  const { inventory } = update.read(CONFIGURATION).current;
  const cached = outlinesByInventory.get(inventory);
  if (cached !== undefined) {
    return cached;
  }
  const outlines = sliceFleet(inventory).map((spec) => ({
    spec,
    capacities: distinctCapacities(spec),
  }));
  outlinesByInventory.set(inventory, outlines);
  return outlines;
}

/** True if some instance of the slice is large enough for `size`. */
export function fitsOnInstance(
  outline: SliceOutline,
  size: Resources,
): boolean {
  return outline.capacities.some((capacity) => fitsWithin(size, capacity));
}

/** Returns how many tasks of `size` the slice could run if it were empty. */
export function countTasksThatFit(
  { spec }: SliceOutline,
  size: Resources,
): number {
  return spec.instances.reduce((places, instance) => {
    const capacity = instanceCapacity(instance.spec);
    return places + Math.min(
      timesIn(capacity.cpuMillis, size.cpuMillis),
      timesIn(capacity.memoryMb, size.memoryMb),
      timesIn(capacity.accelerators, size.accelerators),
      timesIn(capacity.slots, size.slots),
    );
  }, 0);
}

function timesIn(capacity: number, amount: number): number {
  return amount > 0 ? Math.floor(capacity / amount) : Infinity;
}

/** True if the availability zone of the slice accepts new work. */
export function isZoneOpen(update: Update, outline: SliceOutline): boolean {
  const { zones } = update.read(CONFIGURATION).current;
  return (zones[outline.spec.availabilityZone] ?? ZoneState.Open) ===
    ZoneState.Open;
}

function distinctCapacities(spec: SliceSpec): Resources[] {
  const capacities = new Map<string, Resources>();
  for (const instance of spec.instances) {
    const capacity = instanceCapacity(instance.spec);
    capacities.set(JSON.stringify(capacity), capacity);
  }
  return [...capacities.values()];
}
