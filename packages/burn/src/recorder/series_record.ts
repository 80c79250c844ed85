import {
  type BurnPoint,
  type BurnRecordWindow,
  BurnWindow,
} from "@mustardweir/protocol";
import { WaitHistogram } from "../wait_histogram.ts";
import {
  countIntervals,
  Resolution,
  RESOLUTIONS,
  WINDOWS,
} from "../windows.ts";
import { addCounts, Tally, ZERO_COUNTS } from "./tally.ts";

/** Counts and waits of the jobs of one team and kind, by interval. */
export class SeriesRecord {
  readonly #intervals: Readonly<Record<Resolution, Map<number, Tally>>> = {
    [Resolution.Minute]: new Map(),
    [Resolution.HalfHour]: new Map(),
  };

  /** Applies `change` to the tally of the current interval, per resolution. */
  record(now: number, change: (tally: Tally) => void): void {
    for (const resolution of Object.values(Resolution)) {
      change(this.#tallyAt(resolution, now));
    }
  }

  /** Removes the intervals that are no longer kept. */
  removeExpired(now: number): void {
    for (const resolution of Object.values(Resolution)) {
      const oldest = intervalIndex(resolution, now) -
        RESOLUTIONS[resolution].keptIntervals;
      for (const index of this.#intervals[resolution].keys()) {
        if (index <= oldest) {
          this.#intervals[resolution].delete(index);
        }
      }
    }
  }

  /** Whether no interval is kept. */
  get isEmpty(): boolean {
    return Object.values(this.#intervals).every((parts) => parts.size === 0);
  }

  /** Returns the counts and waits of each window that ends at `now`. */
  windows(now: number): BurnRecordWindow[] {
    return Object.values(BurnWindow).map((window) => {
      const parts = this.#talliesWithin(window, now);
      const waits = new WaitHistogram();
      parts.forEach((part) => part.waits.addTo(waits));
      const counts = parts.map((part) => part.counts)
        .reduce(addCounts, ZERO_COUNTS);
      return { window, ...counts, waits: waits.encode() };
    });
  }

  /**
   * Returns the intervals of all resolutions. Jobs with a wait of at most
   * `limitMs` count as in time.
   */
  points(now: number, limitMs: number): BurnPoint[] {
    return Object.values(Resolution).flatMap((resolution) => {
      const { widthMs } = RESOLUTIONS[resolution];
      const parts = [...this.#intervals[resolution]].sort(([a], [b]) => a - b);
      return parts.map(([index, { counts, waits }]) => {
        const inTime = waits.countWithin(limitMs);
        return {
          ageMs: Math.max(0, Math.round(now - (index + 1) * widthMs)),
          widthMs,
          accepted: counts.accepted,
          inTime,
          late: waits.total - inTime,
          p99Ms: waits.quantile(0.99),
        };
      });
    });
  }

  #talliesWithin(window: BurnWindow, now: number): Tally[] {
    const { resolution } = WINDOWS[window];
    const oldest = intervalIndex(resolution, now) - countIntervals(window);
    return [...this.#intervals[resolution]]
      .filter(([index]) => index > oldest)
      .map(([, tally]) => tally);
  }

  #tallyAt(resolution: Resolution, now: number): Tally {
    const index = intervalIndex(resolution, now);
    const existing = this.#intervals[resolution].get(index);
    if (existing !== undefined) {
      return existing;
    }
    const tally = new Tally();
    this.#intervals[resolution].set(index, tally);
    return tally;
  }
}

function intervalIndex(resolution: Resolution, now: number): number {
  return Math.floor(now / RESOLUTIONS[resolution].widthMs);
}
