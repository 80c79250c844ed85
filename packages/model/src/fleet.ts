import type {
  AvailabilityZone,
  InstanceSpec,
  Inventory,
} from "./configuration.ts";
import type { Resources } from "./resources.ts";

/** An instance with its place in the fleet. */
export interface PlacedInstance {
  readonly spec: InstanceSpec;
  readonly rack: string;
  readonly availabilityZone: string;
  readonly region: string;
}

/** A set of racks in one availability zone with one owner. */
export interface SliceSpec {
  readonly sliceId: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly instances: readonly PlacedInstance[];
}

/** Most instances in one slice; racks are added to a slice until it is full. */
export const SLICE_INSTANCES = 512;

/**
 * Cuts the fleet into slices. A rack stays whole and keeps its slice as long
 * as the racks listed before it in its zone stay.
 *
 * @example
 * ```ts
 * const slices = sliceFleet(configuration.inventory);
 * ```
 */
export function sliceFleet(inventory: Inventory): readonly SliceSpec[] {
  const known = slicesOf.get(inventory);
  if (known !== undefined) {
    return known;
  }
  const slices = inventory.availabilityZones.flatMap(sliceZone);
  slicesOf.set(inventory, slices);
  return slices;
}

/** Inventories are replaced as a whole, never changed. */
const slicesOf = new WeakMap<Inventory, readonly SliceSpec[]>();

/**
 * What an instance has, in the units of the scheduler.
 *
 * @example
 * ```ts
 * const capacity = instanceCapacity(placed.spec);
 * ```
 */
export function instanceCapacity(spec: InstanceSpec): Resources {
  return {
    cpuMillis: Math.floor(spec.cpu * 1000),
    memoryMb: spec.memoryMb,
    accelerators: spec.accelerators,
    slots: spec.slots,
  };
}

function sliceZone(zone: AvailabilityZone): SliceSpec[] {
  const groups: PlacedInstance[][] = [];
  for (const rack of zone.racks) {
    const placed = rack.instances.map((spec) => ({
      spec,
      rack: rack.name,
      availabilityZone: zone.name,
      region: zone.region,
    }));
    const last = groups.at(-1);
    if (last && last.length + placed.length <= SLICE_INSTANCES) {
      last.push(...placed);
    } else {
      groups.push(placed);
    }
  }
  return groups.map((instances, index) => ({
    sliceId: `${zone.name}/${index}`,
    availabilityZone: zone.name,
    region: zone.region,
    instances,
  }));
}
