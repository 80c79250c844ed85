import type { Random } from "@mustardweir/kernel";
import type { VirtualClock } from "./virtual_clock.ts";

/** Largest difference of a clock's rate from that of virtual time. */
const MAX_RATE_ERROR = 0.01;

/** Largest offset of a clock, in milliseconds. */
const MAX_OFFSET_MS = 1_000_000;

/** A process's monotonic clock: an offset and a rate within 1%. */
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

  /** Virtual time of a local time. */
  toVirtual(local: number): number {
    return (local - this.#offset) / this.#rate;
  }

  /** Virtual duration of a local one. */
  toVirtualDuration(localMs: number): number {
    return localMs / this.#rate;
  }
}
