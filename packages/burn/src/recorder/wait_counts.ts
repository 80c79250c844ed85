import { build, type JsHistogram } from "hdr-histogram-js";
import { SIGNIFICANT_DIGITS, type Waits } from "../waits.ts";

/** Tells which waits a histogram does not tell apart; holds none itself. */
const SCALE = build({
  autoResize: true,
  numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
}) as JsHistogram;

/**
 * Counts of waits by their value in a histogram. Takes less memory and time
 * to add up than a histogram when the waits are few.
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

  /** Number of waits. */
  get total(): number {
    return this.#total;
  }

  /** Adds a wait in milliseconds; a negative one counts as 0. */
  record(waitMs: number): void {
    const value = SCALE.lowestEquivalentValue(Math.max(0, Math.round(waitMs)));
    this.#counts.set(value, (this.#counts.get(value) ?? 0) + 1);
    this.#total += 1;
  }

  /** Adds the waits to a histogram. */
  addTo(waits: Waits): void {
    for (const [value, count] of this.#counts) {
      waits.record(value, count);
    }
  }

  /** How many waits were not longer than `limitMs`. */
  countWithin(limitMs: number): number {
    let within = 0;
    for (const [value, count] of this.#counts) {
      within += value <= limitMs ? count : 0;
    }
    return within;
  }

  /** The wait that a fraction of all waits did not pass; 0 when empty. */
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
