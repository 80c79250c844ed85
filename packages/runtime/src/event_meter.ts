import type { Metrics } from "./metrics.ts";

/** Kind under which the periodic work of the plug-ins is counted. */
export const PERIODIC_KIND = "periodic";
/** Kind of a whole turn of the loop, in which no other callbacks run. */
export const TURN_KIND = "turn";

const MICROSECONDS_PER_MS = 1_000;

/** Names of the metrics of one kind of event; built once. */
interface EventMetricNames {
  readonly events: string;
  readonly microseconds: string;
  readonly longestMs: string;
}

/**
 * Counts events and their time on the event loop by kind, and keeps the longest
 * of each kind. The time includes what performers do at once, such as encoding.
 *
 * @example
 * ```ts
 * const meter = new EventMeter(metrics);
 * meter.note("renewal-answered", 0.4);
 * ```
 */
export class EventMeter {
  readonly #metrics: Metrics;
  readonly #names = new Map<string, EventMetricNames>();

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** Notes an event of a kind that took `tookMs` milliseconds. */
  note(kind: string, tookMs: number): void {
    const { events, microseconds, longestMs } = this.#namesOf(kind);
    this.#metrics.count(events);
    this.#metrics.count(microseconds, Math.round(tookMs * MICROSECONDS_PER_MS));
    this.#metrics.raise(longestMs, tookMs);
  }

  #namesOf(kind: string): EventMetricNames {
    const known = this.#names.get(kind);
    if (known !== undefined) {
      return known;
    }
    const names: EventMetricNames = {
      events: `events-${kind}`,
      microseconds: `event-us-${kind}`,
      longestMs: `event-longest-ms-${kind}`,
    };
    this.#names.set(kind, names);
    // The first event counts from 0 in the rates that readers compute.
    this.#metrics.count(`events-${kind}`, 0);
    this.#metrics.count(`event-us-${kind}`, 0);
    this.#metrics.raise(`event-longest-ms-${kind}`, 0);
    return names;
  }
}
