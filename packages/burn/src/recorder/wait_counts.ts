import { build, type JsHistogram } from "hdr-histogram-js";
import { SIGNIFICANT_DIGITS, type WaitHistogram } from "../wait_histogram.ts";

/** Maps a wait to its histogram bucket; nothing is recorded in it. */
const BUCKETS = build({
  autoResize: true,
  numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
}) as JsHistogram;

/**
 * Numbers of waits by histogram bucket; empty buckets are not stored. With few
 * waits it takes less memory and less time to add up than a histogram.
 *
 * @example
 * ```ts
 * const counts = new WaitCounts();
 * counts.record(120);
 * counts.addTo(waits);
 * ```
 */
export class WaitCounts {
  readonly #counts = new Map<number, number>();
  #total = 0;

  /** The number of waits recorded. */
  get total(): number {
    return this.#total;
  }

  /** Records a wait in milliseconds; a negative wait counts as 0. */
  record(waitMs: number): void {
    const value = BUCKETS.lowestEquivalentValue(
      Math.max(0, Math.round(waitMs)),
    );
    this.#counts.set(value, (this.#counts.get(value) ?? 0) + 1);
    this.#total += 1;
  }

  /** Adds the waits to a histogram. */
  addTo(waits: WaitHistogram): void {
    for (const [value, count] of this.#counts) {
      waits.record(value, count);
    }
  }

  /** Returns the number of waits that are at most `limitMs`. */
  countWithin(limitMs: number): number {
    let within = 0;
    for (const [value, count] of this.#counts) {
      within += value <= limitMs ? count : 0;
    }
    return within;
  }

  /** Returns the given quantile in milliseconds; 0 without any wait. */
  quantile(fraction: number): number {
    const sorted = [...this.#counts].sort(([a], [b]) => a - b);
    let rest = Math.ceil(this.#total * fraction);
    for (const [value, count] of sorted) {
      rest -= count;
      if (rest <= 0) {
        return value;
      }
    }
    return 0;
  }
}
