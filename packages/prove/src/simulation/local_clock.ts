import type { Random } from "@mustardweir/kernel";
import type { VirtualClock } from "./virtual_clock.ts";

/** Maximum relative error of a clock's rate against virtual time. */
const MAX_RATE_ERROR = 0.01;

/** Maximum offset of a clock, in milliseconds. */
const MAX_OFFSET_MS = 1_000_000;

/** Monotonic clock of a process, with an offset and a rate error up to 1%. */
export class LocalClock {
  readonly #clock: VirtualClock;
  readonly #offset: number;
  readonly #rate: number;

  constructor(clock: VirtualClock, random: Random) {
    this.#clock = clock;
    this.#offset = random.below(MAX_OFFSET_MS);
    this.#rate = 1 + (2 * random.fraction() - 1) * MAX_RATE_ERROR;
  }

  now(): number {
    return this.#offset + this.#clock.now * this.#rate;
  }

  /** Converts a local time to virtual time. */
  toVirtual(local: number): number {
    return (local - this.#offset) / this.#rate;
  }

  /** Converts a local duration to virtual time. */
  toVirtualDuration(localMs: number): number {
    return localMs / this.#rate;
  }
}
