import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type JsHistogram,
} from "hdr-histogram-js";

const SIGNIFICANT_DIGITS = 2;
const NAME_PREFIX = "mustardweir_";

/** The quantiles in the snapshot of every histogram. */
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/**
 * Upper bounds of the buckets of every histogram, in milliseconds. They
 * include the latency objectives of the users' queues.
 */
const BUCKETS_MS = [
  5,
  10,
  25,
  50,
  100,
  250,
  500,
  1_000,
  2_500,
  3_000,
  5_000,
  10_000,
] as const;

/** Statistics of a histogram, in the unit of the observed values. */
export interface HistogramSnapshot {
  readonly count: number;
  readonly sum: number;
  readonly mean: number;
  readonly max: number;
  /** Values by quantile, such as 0.99. */
  readonly quantiles: Readonly<Record<string, number>>;
  /** Number of values up to each upper bound of the buckets, by bound. */
  readonly upTo: ReadonlyMap<number, number>;
}

/** All counters, gauges and histograms of a process at one time, by name. */
export interface MetricsSnapshot {
  readonly counters: Readonly<Record<string, number>>;
  readonly gauges: Readonly<Record<string, number>>;
  readonly histograms: Readonly<Record<string, HistogramSnapshot>>;
}

/**
 * Counters, gauges and histograms of a process.
 *
 * @example
 * ```ts
 * const metrics = new Metrics();
 * metrics.count("jobs-accepted");
 * metrics.observe("start-wait-ms", 12);
 * metrics.renderPrometheus();
 * ```
 */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, number>();
  /** Largest values since the last rendering. */
  readonly #maxima = new Map<string, number>();
  readonly #histograms = new Map<string, JsHistogram>();
  readonly #sums = new Map<string, number>();

  /** Adds `by`, 1 by default, to a counter. */
  count(counter: string, by = 1): void {
    this.#counters.set(counter, this.counter(counter) + by);
  }

  /** Returns a counter's value; 0 if it was never incremented. */
  counter(counter: string): number {
    return this.#counters.get(counter) ?? 0;
  }

  /** Returns the counters whose names begin with `prefix`, by name. */
  countersWith(prefix: string): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#counters].filter(([name]) => name.startsWith(prefix)),
    );
  }

  /** Sets a gauge. */
  set(gauge: string, value: number): void {
    this.#gauges.set(gauge, value);
  }

  /**
   * Raises a gauge to the value if that is larger. {@link renderPrometheus}
   * lowers it to 0 again, so that a reader gets the largest value since it last
   * asked.
   */
  raise(gauge: string, value: number): void {
    if (value > (this.#maxima.get(gauge) ?? -Infinity)) {
      this.#maxima.set(gauge, value);
    }
  }

  /** Adds a value, rounded, to a histogram; negative values count as 0. */
  observe(histogram: string, value: number): void {
    const recorded = Math.max(0, Math.round(value));
    this.#histogram(histogram).recordValue(recorded);
    this.#sums.set(histogram, (this.#sums.get(histogram) ?? 0) + recorded);
  }

  /** Returns the current values of all metrics. */
  snapshot(): MetricsSnapshot {
    const histograms = [...this.#histograms].map(([name, histogram]) =>
      [name, this.#snapshotOf(name, histogram)] as const
    );
    return {
      counters: Object.fromEntries(this.#counters),
      gauges: Object.fromEntries([...this.#gauges, ...this.#maxima]),
      histograms: Object.fromEntries(histograms),
    };
  }

  /**
   * Returns all metrics in the text format of Prometheus, and lowers the gauges
   * of {@link raise}.
   */
  renderPrometheus(): string {
    const { counters, gauges, histograms } = this.snapshot();
    for (const gauge of this.#maxima.keys()) {
      this.#maxima.set(gauge, 0);
    }
    const lines = [
      ...Object.entries(counters).sort(byName).flatMap(renderCounter),
      ...Object.entries(gauges).sort(byName).flatMap(renderGauge),
      ...Object.entries(histograms).sort(byName).flatMap(renderHistogram),
    ];
    return lines.map((line) => `${line}\n`).join("");
  }

  /** Returns the histograms encoded for {@link Metrics.mergeHistograms}. */
  encodeHistograms(): Readonly<Record<string, string>> {
    const encoded = [...this.#histograms].map(([name, histogram]) =>
      [name, encodeIntoCompressedBase64(histogram)] as const
    );
    return Object.fromEntries(encoded);
  }

  /** Adds the values of encoded histograms of another process. */
  mergeHistograms(encoded: Readonly<Record<string, string>>): void {
    for (const [name, text] of Object.entries(encoded)) {
      const other = decodeFromCompressedBase64(text) as JsHistogram;
      this.#histogram(name).add(other);
      const sum = this.#sums.get(name) ?? 0;
      this.#sums.set(name, sum + Math.round(other.mean * other.totalCount));
    }
  }

  #histogram(name: string): JsHistogram {
    const known = this.#histograms.get(name);
    if (known) {
      return known;
    }
    const histogram = build({
      autoResize: true,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      useWebAssembly: false,
    }) as JsHistogram;
    this.#histograms.set(name, histogram);
    return histogram;
  }

  #snapshotOf(name: string, histogram: JsHistogram): HistogramSnapshot {
    const quantiles = QUANTILES.map((quantile) =>
      [
        String(quantile),
        histogram.getValueAtPercentile(quantile * 100),
      ] as const
    );
    return {
      count: histogram.totalCount,
      sum: this.#sums.get(name) ?? 0,
      mean: histogram.mean,
      max: histogram.maxValue,
      quantiles: Object.fromEntries(quantiles),
      upTo: countUpTo(histogram),
    };
  }
}

function renderCounter([name, value]: [string, number]): string[] {
  const metric = `${metricName(name)}_total`;
  return [`# TYPE ${metric} counter`, `${metric} ${value}`];
}

function renderGauge([name, value]: [string, number]): string[] {
  const metric = metricName(name);
  return [`# TYPE ${metric} gauge`, `${metric} ${value}`];
}

/** Counts the values up to each bound, within the histogram's precision. */
function countUpTo(histogram: JsHistogram): Map<number, number> {
  const upTo = new Map<number, number>(BUCKETS_MS.map((bound) => [bound, 0]));
  const values = histogram.recordedValuesIterator;
  values.reset();
  while (values.hasNext()) {
    const { valueIteratedTo, countAtValueIteratedTo } = values.next();
    const value = histogram.lowestEquivalentValue(valueIteratedTo);
    for (
      const bound of BUCKETS_MS.filter((upperBound) => value <= upperBound)
    ) {
      upTo.set(bound, upTo.get(bound)! + countAtValueIteratedTo);
    }
  }
  return upTo;
}

function renderHistogram([name, of]: [string, HistogramSnapshot]): string[] {
  const metric = metricName(name);
  const buckets = [...of.upTo].map(([bound, values]) =>
    `${metric}_bucket{le="${bound}"} ${values}`
  );
  return [
    `# TYPE ${metric} histogram`,
    ...buckets,
    `${metric}_bucket{le="+Inf"} ${of.count}`,
    `${metric}_sum ${of.sum}`,
    `${metric}_count ${of.count}`,
  ];
}

function metricName(name: string): string {
  return NAME_PREFIX + name.replaceAll(/[^a-zA-Z0-9_]/g, "_");
}

function byName(
  [a]: readonly [string, unknown],
  [b]: readonly [string, unknown],
): number {
  return a < b ? -1 : 1;
}
