/** Amounts of resources: of an instance's capacity or of a task's size. */
export interface Resources {
  /** Processor time in thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Number of tasks; an instance runs at most `slots` of them at a time. */
  readonly slots: number;
}

/** The kinds of resource; the values are their indices in typed arrays. */
export enum Dimension {
  CpuMillis = 0,
  MemoryMb = 1,
  Accelerators = 2,
  Slots = 3,
}

/** Number of members of {@link Dimension}. */
export const DIMENSION_COUNT = 4;

/** Zero in every dimension. */
export const NO_RESOURCES: Resources = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
  slots: 0,
};

/**
 * Adds two amounts.
 *
 * @example
 * ```ts
 * const total = addResources(used, task.size);
 * ```
 */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
    slots: a.slots + b.slots,
  };
}

/**
 * Subtracts `b` from `a`.
 *
 * @example
 * ```ts
 * const free = subtractResources(capacity, used);
 * ```
 */
export function subtractResources(a: Resources, b: Resources): Resources {
  return addResources(a, scaleResources(b, -1));
}

/**
 * Multiplies every dimension by `factor`.
 *
 * @example
 * ```ts
 * const gangSize = scaleResources(taskSize(spec), spec.tasks);
 * ```
 */
export function scaleResources(a: Resources, factor: number): Resources {
  return {
    cpuMillis: a.cpuMillis * factor,
    memoryMb: a.memoryMb * factor,
    accelerators: a.accelerators * factor,
    slots: a.slots * factor,
  };
}

/**
 * Returns whether `size` is within `limit` in every dimension.
 *
 * @example
 * ```ts
 * const hasRoom = fitsWithin(task.size, free);
 * ```
 */
export function fitsWithin(size: Resources, limit: Resources): boolean {
  return size.cpuMillis <= limit.cpuMillis &&
    size.memoryMb <= limit.memoryMb &&
    size.accelerators <= limit.accelerators &&
    size.slots <= limit.slots;
}

/**
 * Returns the largest fraction of `total` that `used` takes in any dimension.
 *
 * @example
 * ```ts
 * const share = dominantShare(usedByTeam, fleetTotal); // 0.25
 * ```
 */
export function dominantShare(used: Resources, total: Resources): number {
  return Math.max(
    fraction(used.cpuMillis, total.cpuMillis),
    fraction(used.memoryMb, total.memoryMb),
    fraction(used.accelerators, total.accelerators),
    fraction(used.slots, total.slots),
  );
}

function fraction(used: number, total: number): number {
  return total > 0 ? used / total : 0;
}
