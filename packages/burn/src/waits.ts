import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
  type JsHistogram,
} from "hdr-histogram-js";
import { err, ok, type Result } from "neverthrow";

/** Digits to which waits are told apart. */
export const SIGNIFICANT_DIGITS = 2;

/** Longest text of a histogram that is decoded. */
const MAX_ENCODED_CHARS = 256 * 1024;

/** A text that is not a histogram. */
export interface WaitsError {
  readonly message: string;
}

/**
 * A histogram of waits in milliseconds. Values are kept to two digits.
 *
 * @example
 * ```ts
 * const waits = new Waits();
 * waits.record(120);
 * waits.countWithin(500); // 1
 * ```
 */
export class Waits {
  readonly #histogram: Histogram;

  constructor(histogram: Histogram = createHistogram()) {
    this.#histogram = histogram;
  }

  /** Number of waits. */
  get count(): number {
    return this.#histogram.totalCount;
  }

  /** Adds `count` waits in milliseconds; a negative one counts as 0. */
  record(waitMs: number, count = 1): void {
    const value = Math.max(0, Math.round(waitMs));
    this.#histogram.recordValueWithCount(value, count);
  }

  /** Adds the waits of another histogram. */
  add(other: Waits): void {
    this.#histogram.add(other.#histogram);
  }

  /** How many waits were not longer than `limitMs`. */
  countWithin(limitMs: number): number {
    const histogram = this.#histogram as JsHistogram;
    if (limitMs >= histogram.maxValue) {
      return histogram.totalCount;
    }
    const last = histogram.countsArrayIndex(Math.floor(limitMs));
    let count = 0;
    for (let index = 0; index <= last; index += 1) {
      count += histogram.getCountAtIndex(index);
    }
    return count;
  }

  /** The wait that a fraction of all waits did not pass; 0 when empty. */
  quantile(fraction: number): number {
    return this.count === 0
      ? 0
      : this.#histogram.getValueAtPercentile(fraction * 100);
  }

  /** The histogram as text; empty when there is no value. */
  encode(): string {
    return this.count === 0 ? "" : encodeIntoCompressedBase64(this.#histogram);
  }
}

/**
 * Reads what {@link Waits.encode} wrote.
 *
 * @example
 * ```ts
 * const waits = decodeWaits(record.waiting);
 * ```
 */
export function decodeWaits(text: string): Result<Waits, WaitsError> {
  if (text === "") {
    return ok(new Waits());
  }
  if (text.length > MAX_ENCODED_CHARS) {
    return err({ message: "The histogram is too large" });
  }
  try {
    const waits = new Waits();
    waits.add(new Waits(decodeFromCompressedBase64(text)));
    return ok(waits);
  } catch {
    return err({ message: "The text is not a histogram" });
  }
}

function createHistogram(): Histogram {
  return build({
    autoResize: true,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}
