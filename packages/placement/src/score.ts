import { Dimension, type Resources } from "@mustardweir/model";
import type { InstanceTable } from "./instance_table.ts";

/** Amounts that weigh the same in a score. */
const CPU_SCALE_MILLIS = 8000;
const MEMORY_SCALE_MB = 32_768;
/** Weight of each accelerator that work without need of one would block. */
const BLOCKED_ACCELERATOR_WEIGHT = 10;
/** Weight of each accelerator left over by work that needs some. */
const SPARE_ACCELERATOR_WEIGHT = 3;

/**
 * Rates an instance for a task, lower is better. An instance runs out of
 * slots as of anything else, so a task belongs where what is free for each
 * free slot comes nearest to its size: a small task on a large instance
 * strands the rest, a large one leaves slots that nothing can fill.
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
