import {
  type BurnPoint,
  type BurnRecordWindow,
  BurnWindow,
} from "@mustardweir/protocol";
import { Waits } from "../waits.ts";
import { partsOf, Tier, TIERS, WINDOWS } from "../windows.ts";
import { addCounts, NO_WORK, Tally } from "./tally.ts";

/** The work of one team and kind by parts of time. */
export class SeriesRecord {
  readonly #parts: Readonly<Record<Tier, Map<number, Tally>>> = {
    [Tier.Minute]: new Map(),
    [Tier.HalfHour]: new Map(),
  };

  /** Changes the tallies that `now` belongs to. */
  record(now: number, change: (tally: Tally) => void): void {
    for (const tier of Object.values(Tier)) {
      change(this.#partAt(tier, now));
    }
  }

  /** Forgets what is older than the longest window. */
  forget(now: number): void {
    for (const tier of Object.values(Tier)) {
      const oldest = indexOf(tier, now) - TIERS[tier].kept;
      for (const index of this.#parts[tier].keys()) {
        if (index <= oldest) {
          this.#parts[tier].delete(index);
        }
      }
    }
  }

  /** True when nothing is kept. */
  get isEmpty(): boolean {
    return Object.values(this.#parts).every((parts) => parts.size === 0);
  }

  /** The counts and waits of each window that ends at `now`. */
  windows(now: number): BurnRecordWindow[] {
    return Object.values(BurnWindow).map((window) => {
      const parts = this.#partsWithin(window, now);
      const waits = new Waits();
      parts.forEach((part) => part.waits.addTo(waits));
      const counts = parts.map((part) => part.counts)
        .reduce(addCounts, NO_WORK);
      return { window, ...counts, waits: waits.encode() };
    });
  }

  /** The parts of both tiers; work is in time up to a wait of `limitMs`. */
  points(now: number, limitMs: number): BurnPoint[] {
    return Object.values(Tier).flatMap((tier) => {
      const { widthMs } = TIERS[tier];
      const parts = [...this.#parts[tier]].sort(([a], [b]) => a - b);
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

  #partsWithin(window: BurnWindow, now: number): Tally[] {
    const { tier } = WINDOWS[window];
    const oldest = indexOf(tier, now) - partsOf(window);
    return [...this.#parts[tier]]
      .filter(([index]) => index > oldest)
      .map(([, tally]) => tally);
  }

  #partAt(tier: Tier, now: number): Tally {
    const index = indexOf(tier, now);
    const known = this.#parts[tier].get(index);
    if (known !== undefined) {
      return known;
    }
    const tally = new Tally();
    this.#parts[tier].set(index, tally);
    return tally;
  }
}

function indexOf(tier: Tier, now: number): number {
  return Math.floor(now / TIERS[tier].widthMs);
}
