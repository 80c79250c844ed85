/** Whether a bound is an upper or a lower one. */
export enum BoundKind {
  AtMost = "at-most",
  AtLeast = "at-least",
}

/** One measured value. */
export interface Metric {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly bound?: number;
  /** `AtMost` by default. */
  readonly boundKind?: BoundKind;
  /** The same measure of the baseline policy. */
  readonly baseline?: number;
  /** Whether the bound depends on the speed of the machine. */
  readonly machineBound?: boolean;
}

/**
 * Returns whether the metric has a bound and misses it.
 *
 * @example
 * ```ts
 * const missed = metrics.filter(missesBound);
 * ```
 */
export function missesBound(metric: Metric): boolean {
  if (metric.bound === undefined) {
    return false;
  }
  // Negated comparisons, so that NaN misses every bound.
  return metric.boundKind === BoundKind.AtLeast
    ? !(metric.value >= metric.bound)
    : !(metric.value <= metric.bound);
}

/**
 * Returns whether the metric makes the run fail: it misses a bound that doesn't
 * depend on the machine.
 *
 * @example
 * ```ts
 * process.exitCode = metrics.some(fails) ? 1 : 0;
 * ```
 */
export function fails(metric: Metric): boolean {
  return missesBound(metric) && metric.machineBound !== true;
}
