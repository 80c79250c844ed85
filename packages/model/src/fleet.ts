import type {
  AvailabilityZone,
  InstanceSpec,
  Inventory,
} from "./configuration.ts";
import type { Resources } from "./resources.ts";

/** An instance and its location in the fleet. */
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

/**
 * Maximum number of instances in a slice, unless a single rack has more; racks
 * are added to a slice until the next one would exceed it.
 */
export const SLICE_INSTANCES = 512;

/**
 * Divides the fleet into slices. A rack is never split, and it stays in its
 * slice as long as the racks listed before it in its zone don't change.
 *
 * @example
 * ```ts
 * const slices = sliceFleet(configuration.inventory);
 * ```
 */
export function sliceFleet(inventory: Inventory): readonly SliceSpec[] {
  const cached = slicesByInventory.get(inventory);
  if (cached !== undefined) {
    return cached;
  }
  const slices = inventory.availabilityZones.flatMap(sliceZone);
  slicesByInventory.set(inventory, slices);
  return slices;
}

/** Cache by identity: an inventory is replaced as a whole, never modified. */
const slicesByInventory = new WeakMap<Inventory, readonly SliceSpec[]>();

/**
 * Converts an instance's capacity to the scheduler's units.
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
