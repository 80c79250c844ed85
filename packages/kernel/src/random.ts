import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";

/** Seeded random numbers; the only source of randomness in decisions. */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a uniformly distributed integer from 0 to `bound - 1`. */
  below(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }

  /** Returns a uniformly distributed number in [0, 1). */
  fraction(): number {
    return this.below(0x4000_0000) / 0x4000_0000;
  }

  /** Returns a random string of `length` hexadecimal digits. */
  hex(length: number): string {
    let digits = "";
    while (digits.length < length) {
      digits += this.below(16).toString(16);
    }
    return digits;
  }
}
