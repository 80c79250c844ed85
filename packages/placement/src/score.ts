import { Dimension, type Resources } from "@mustardweir/model";
import type { InstanceTable } from "./instance_table.ts";

/** Weight of each accelerator that work without need of one would block. */
const ACCELERATOR_PENALTY = 1;
/** Weight of unlike remainders: much of one resource and none of another. */
const IMBALANCE_WEIGHT = 0.5;

/**
 * Rates an instance for a task, lower is better: what would be left over,
 * how unevenly it would be left over, and accelerators that the task would
 * sit in front of without using them.
 */
export function packingScore(
  table: InstanceTable,
  index: number,
  size: Resources,
): number {
  const cpu = leftOver(table, index, Dimension.CpuMillis, size.cpuMillis);
  const memory = leftOver(table, index, Dimension.MemoryMb, size.memoryMb);
  const slots = leftOver(table, index, Dimension.Slots, size.slots);
  const most = Math.max(cpu, memory, slots);
  const least = Math.min(cpu, memory, slots);
  const score = cpu + memory + slots + IMBALANCE_WEIGHT * (most - least);
  const accelerators = table.freeIn(index, Dimension.Accelerators);
  if (accelerators === 0) {
    return score;
  }
  const blocked = size.accelerators === 0 ? accelerators : 0;
  const unused = accelerators - size.accelerators;
  return score + ACCELERATOR_PENALTY * (blocked + unused);
}

function leftOver(
  table: InstanceTable,
  index: number,
  dimension: Dimension,
  amount: number,
): number {
  const capacity = table.capacityIn(index, dimension);
  return capacity > 0
    ? (table.freeIn(index, dimension) - amount) / capacity
    : 0;
}
