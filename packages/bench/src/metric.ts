/** On which side of its bound a value has to be. */
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
  /** The same measure of the policy that the value is compared with. */
  readonly baseline?: number;
  /** True when the bound depends on the speed of the machine. */
  readonly machineBound?: boolean;
}

/**
 * True when the metric has a bound and is on the wrong side of it.
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
  // A value that is not a number misses every bound.
  return metric.boundKind === BoundKind.AtLeast
    ? !(metric.value >= metric.bound)
    : !(metric.value <= metric.bound);
}

/**
 * True when the metric makes the run fail.
 *
 * @example
 * ```ts
 * process.exitCode = metrics.some(fails) ? 1 : 0;
 * ```
 */
export function fails(metric: Metric): boolean {
  return missesBound(metric) && metric.machineBound !== true;
}
