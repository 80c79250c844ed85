import { build, type JsHistogram } from "hdr-histogram-js";

/** Units of the histogram in a ratio of 1. */
const UNITS = 100;
/** Lowest and highest ratio that are told apart. */
const MIN_RATIO = 0.05;
const MAX_RATIO = 16;
/** Keeps the counts in 128 buckets, each at most a sixteenth wide. */
const HIGHEST_UNIT = 2_047;
const SIGNIFICANT_DIGITS = 1;

/** Number of buckets, from the lowest ratio to the highest. */
export const RATIO_BUCKETS = 128;

/** A bucket and the number of ratios in it. */
export type BucketCount = readonly [index: number, count: number];

/**
 * A histogram of ratios from 0.05 to 16 in a fixed number of buckets, of 128
 * counts of 4 bytes. Ratios outside the range count as its nearest end.
 *
 * @example
 * ```ts
 * const ratios = new RatioHistogram();
 * ratios.record(1.9);
 * ratios.mean; // 1.9 within 3%
 * ```
 */
export class RatioHistogram {
  readonly #counts = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_UNIT,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
    autoResize: false,
    useWebAssembly: false,
  }) as JsHistogram;

  /** Number of ratios. */
  get count(): number {
    return this.#counts.totalCount;
  }

  /** Mean of the ratios; 0 without any. */
  get mean(): number {
    return this.#counts.mean / UNITS;
  }

  /** Returns a quantile of the ratios; 0 without any. */
  quantile(fraction: number): number {
    const value = this.#counts.getValueAtPercentile(100 * fraction);
    return this.#counts.medianEquivalentValue(value) / UNITS;
  }

  /** Adds a ratio; one that isn't a number is left out. */
  record(ratio: number): void {
    if (Number.isNaN(ratio)) {
      return;
    }
    const bounded = Math.min(Math.max(ratio, MIN_RATIO), MAX_RATIO);
    this.#counts.recordValue(Math.round(bounded * UNITS));
  }

  /** Adds counts of a histogram, in the form of {@link RatioHistogram.list}. */
  add(counts: readonly BucketCount[]): void {
    for (const [index, count] of counts) {
      const value = this.#counts.valueFromIndex(index);
      this.#counts.recordValueWithCount(value, count);
    }
  }

  /**
   * Returns the counts of the buckets that hold any. If there are more ratios
   * than `limit`, the counts are scaled down to it. Rounding is done on the
   * running total, so that rare ratios keep their share.
   */
  list(limit: number): BucketCount[] {
    const scale = Math.min(1, limit / this.count);
    const listed: BucketCount[] = [];
    let total = 0;
    let taken = 0;
    for (let index = 0; index < RATIO_BUCKETS; index++) {
      total += this.#counts.getCountAtIndex(index);
      const count = Math.round(total * scale) - taken;
      if (count > 0) {
        listed.push([index, count]);
        taken += count;
      }
    }
    return listed;
  }

  /** Reduces the counts in proportion until at most `limit` ratios are left. */
  shrink(limit: number): void {
    const kept = this.list(limit);
    this.#counts.reset();
    this.add(kept);
  }
}
