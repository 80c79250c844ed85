import type { Resources } from "@mustardweir/model";
import { InstanceTable } from "@mustardweir/placement";

const GB = 1024;
const SLOTS = 8;
const ZONES = 3;

/** A kind of instance, and its number in a group of 34. */
interface InstanceKind {
  readonly count: number;
  readonly rackSize: number;
  readonly capacity: Resources;
}

function createKind(
  count: number,
  rackSize: number,
  options: { cores: number; memoryGb: number; accelerators: number },
): InstanceKind {
  const capacity = {
    cpuMillis: options.cores * 1000,
    memoryMb: options.memoryGb * GB,
    accelerators: options.accelerators,
    slots: SLOTS,
  };
  return { count, rackSize, capacity };
}

const RETAIL_KINDS: readonly InstanceKind[] = [
  createKind(24, 5, { cores: 64, memoryGb: 256, accelerators: 0 }),
  createKind(10, 3, { cores: 32, memoryGb: 64, accelerators: 8 }),
];
const ALERTING_KINDS: readonly InstanceKind[] = [
  createKind(24, 5, { cores: 16, memoryGb: 64, accelerators: 0 }),
  createKind(10, 3, { cores: 128, memoryGb: 256, accelerators: 8 }),
];

/**
 * Returns a table of `size` instances in groups of 34, alternately of the retail
 * and the alerting kinds.
 *
 * @example
 * ```ts
 * const table = createInstanceTable(340);
 * ```
 */
export function createInstanceTable(size: number): InstanceTable {
  const table = new InstanceTable();
  for (let group = 0; table.size < size; group++) {
    const kinds = group % 2 === 0 ? RETAIL_KINDS : ALERTING_KINDS;
    kinds.forEach((kind, k) => addKind(table, kind, { group, k, size }));
  }
  return table;
}

function addKind(
  table: InstanceTable,
  kind: InstanceKind,
  place: { group: number; k: number; size: number },
): void {
  for (let i = 0; i < kind.count && table.size < place.size; i++) {
    const rack = `r-${place.group}-${place.k}-${Math.floor(i / kind.rackSize)}`;
    table.add({
      instanceId: `i-${table.size}`,
      capacity: kind.capacity,
      rack,
      availabilityZone: `z-${place.group % ZONES}`,
    });
  }
}
