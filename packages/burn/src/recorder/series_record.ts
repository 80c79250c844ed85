import {
  type BurnRecordPoint,
  type BurnRecordWindow,
  BurnWindow,
} from "@mustardweir/protocol";
import { partsOf, Tier, TIERS, WINDOWS } from "../windows.ts";
import { Tally } from "./tally.ts";

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

  get isEmpty(): boolean {
    return Object.values(this.#parts).every((parts) => parts.size === 0);
  }

  windows(now: number): BurnRecordWindow[] {
    return Object.values(BurnWindow).map((window) => {
      const tally = this.#sum(window, now);
      return { window, ...tally.counts, waits: tally.waits.encode() };
    });
  }

  /** The parts of both tiers, oldest first. */
  points(now: number): BurnRecordPoint[] {
    return Object.values(Tier).flatMap((tier) => {
      const { widthMs } = TIERS[tier];
      const parts = [...this.#parts[tier]].sort(([a], [b]) => a - b);
      return parts.map(([index, { counts, waits }]) => ({
        ageMs: Math.max(0, Math.round(now - (index + 1) * widthMs)),
        widthMs,
        accepted: counts.accepted,
        waits: waits.encode(),
      }));
    });
  }

  #sum(window: BurnWindow, now: number): Tally {
    const { tier } = WINDOWS[window];
    const newest = indexOf(tier, now);
    const sum = new Tally();
    for (const [index, tally] of this.#parts[tier]) {
      if (index > newest - partsOf(window)) {
        sum.add(tally);
      }
    }
    return sum;
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
