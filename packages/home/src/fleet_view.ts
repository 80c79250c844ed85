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

/** What homes need of a slice's inventory. */
export interface SliceOutline {
  readonly spec: SliceSpec;
  /** The different capacities of its instances. */
  readonly shapes: readonly Resources[];
}

const outlinesByInventory = new WeakMap<
  Configuration["inventory"],
  readonly SliceOutline[]
>();

/** The slices of the fleet, worked out once for each inventory. */
export function outlineSlices(update: Update): readonly SliceOutline[] {
  const { inventory } = update.read(CONFIGURATION).current;
  const known = outlinesByInventory.get(inventory);
  if (known !== undefined) {
    return known;
  }
  const outlines = sliceFleet(inventory).map((spec) => ({
    spec,
    shapes: distinctShapes(spec),
  }));
  outlinesByInventory.set(inventory, outlines);
  return outlines;
}

/** True when some instance of the slice is large enough for `size`. */
export function canHold(outline: SliceOutline, size: Resources): boolean {
  return outline.shapes.some((shape) => fitsWithin(size, shape));
}

/** How many tasks of `size` the slice could run if it were empty. */
export function countPlaces({ spec }: SliceOutline, size: Resources): number {
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

/** True when the zone of the slice takes new work. */
export function isZoneOpen(update: Update, outline: SliceOutline): boolean {
  const { zones } = update.read(CONFIGURATION).current;
  return (zones[outline.spec.availabilityZone] ?? ZoneState.Open) ===
    ZoneState.Open;
}

function distinctShapes(spec: SliceSpec): Resources[] {
  const shapes = new Map<string, Resources>();
  for (const instance of spec.instances) {
    const capacity = instanceCapacity(instance.spec);
    shapes.set(JSON.stringify(capacity), capacity);
  }
  return [...shapes.values()];
}
