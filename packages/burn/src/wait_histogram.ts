import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
  type JsHistogram,
} from "hdr-histogram-js";
import { err, ok, type Result } from "neverthrow";

/** The number of significant digits to which waits are recorded. */
export const SIGNIFICANT_DIGITS = 2;

/** Longest encoded histogram that is decoded, in characters. */
const MAX_ENCODED_CHARS = 256 * 1024;

/** The error for a text that is not an encoded histogram. */
export interface HistogramError {
  readonly message: string;
}

/**
 * A histogram of waits in milliseconds, kept to two significant digits.
 *
 * @example
 * ```ts
 * const waits = new WaitHistogram();
 * waits.record(120);
 * waits.countWithin(500); // 1
 * ```
 */
export class WaitHistogram {
  readonly #histogram: Histogram;

  constructor(histogram: Histogram = createHistogram()) {
    this.#histogram = histogram;
  }

  /** The number of waits recorded. */
  get count(): number {
    return this.#histogram.totalCount;
  }

  /** Records `count` waits of `waitMs` each; a negative wait counts as 0. */
  record(waitMs: number, count = 1): void {
    const value = Math.max(0, Math.round(waitMs));
    this.#histogram.recordValueWithCount(value, count);
  }

  /** Adds the waits of another histogram. */
  add(other: WaitHistogram): void {
    this.#histogram.add(other.#histogram);
  }

  /** Returns the number of waits that are at most `limitMs`. */
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

  /** Returns the given quantile in milliseconds; 0 for an empty histogram. */
  quantile(fraction: number): number {
    return this.count === 0
      ? 0
      : this.#histogram.getValueAtPercentile(fraction * 100);
  }

  /** Returns the encoded histogram; an empty text without any wait. */
  encode(): string {
    return this.count === 0 ? "" : encodeIntoCompressedBase64(this.#histogram);
  }
}

/**
 * Decodes the result of {@link WaitHistogram.encode}.
 *
 * @example
 * ```ts
 * const waits = decodeWaitHistogram(record.waiting);
 * ```
 */
export function decodeWaitHistogram(
  text: string,
): Result<WaitHistogram, HistogramError> {
  if (text === "") {
    return ok(new WaitHistogram());
  }
  if (text.length > MAX_ENCODED_CHARS) {
    return err({ message: "The histogram is too large" });
  }
  try {
    const waits = new WaitHistogram();
    waits.add(new WaitHistogram(decodeFromCompressedBase64(text)));
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
