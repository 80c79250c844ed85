import { Dimension, type Resources } from "@mustardweir/model";
import type { InstanceTable } from "./instance_table.ts";

/** Amounts of processors and memory that weigh the same in a score. */
const CPU_SCALE_MILLIS = 8000;
const MEMORY_SCALE_MB = 32_768;
/** Weight of each free accelerator that a task without any would block. */
const BLOCKED_ACCELERATOR_WEIGHT = 10;
/** Weight of each free accelerator that a task with some leaves over. */
const SPARE_ACCELERATOR_WEIGHT = 3;

/**
 * Scores an instance for a task; lower is better. Slots run out like any other
 * resource, so a task fits best where the free amounts per free slot are
 * closest to its size: a smaller task strands resources without a slot, a
 * larger one leaves slots without resources.
 *
 * @example
 * ```ts
 * const score = packingScore(table, index, task.size);
 * ```
 */
export function packingScore(
  table: InstanceTable,
  index: number,
  size: Resources,
): number {
  const slots = table.freeIn(index, Dimension.Slots);
  const cpu = table.freeIn(index, Dimension.CpuMillis) / slots;
  const memory = table.freeIn(index, Dimension.MemoryMb) / slots;
  const mismatch = Math.abs(cpu - size.cpuMillis) / CPU_SCALE_MILLIS +
    Math.abs(memory - size.memoryMb) / MEMORY_SCALE_MB;
  const accelerators = table.freeIn(index, Dimension.Accelerators);
  return size.accelerators === 0
    ? mismatch + BLOCKED_ACCELERATOR_WEIGHT * accelerators
    : mismatch + SPARE_ACCELERATOR_WEIGHT * (accelerators - size.accelerators);
}
