/** Most queues and racks whose waits are remembered. */
export const MAX_TRUST_ENTRIES = 512;
/** Weight of the newest wait. */
const SMOOTHING = 0.25;
/** Lowest trust; the expected wait is divided by it. */
const MIN_TRUST = 0.1;
/**
 * Time in which half of the lost trust returns without further waits, in
 * milliseconds: a queue that never waits would otherwise never try again.
 */
const RECOVERY_MS = 20_000;

interface Trust {
  value: number;
  updatedMs: number;
}

/**
 * How many of the latest waits have been fulfilled, for each queue and rack.
 * Takes about 150 bytes for each of at most {@link MAX_TRUST_ENTRIES} entries.
 */
export class WaitTrust {
  readonly #entries = new Map<string, Trust>();

  /** Returns the trust in waits, from {@link MIN_TRUST} to 1. */
  of(wait: { queue: string; rack: string }, now: number): number {
    return Math.min(...keysOf(wait).map((key) => this.#valueOf(key, now)));
  }

  /** Records how a wait ended. */
  record(
    wait: { queue: string; rack: string },
    isFulfilled: boolean,
    now: number,
  ): void {
    for (const key of keysOf(wait)) {
      const value = this.#valueOf(key, now);
      this.#entries.delete(key);
      if (this.#entries.size >= MAX_TRUST_ENTRIES) {
        const [oldest] = this.#entries.keys();
        this.#entries.delete(oldest!);
      }
      this.#entries.set(key, {
        value: value + SMOOTHING * ((isFulfilled ? 1 : 0) - value),
        updatedMs: now,
      });
    }
  }

  /** Drops all entries, at a change of the owner. */
  clear(): void {
    this.#entries.clear();
  }

  #valueOf(key: string, now: number): number {
    const known = this.#entries.get(key);
    if (known === undefined) {
      return 1;
    }
    const faded = 0.5 ** ((now - known.updatedMs) / RECOVERY_MS);
    return Math.max(1 - (1 - known.value) * faded, MIN_TRUST);
  }
}

function keysOf({ queue, rack }: { queue: string; rack: string }): string[] {
  return [`queue ${queue}`, `rack ${rack}`];
}
