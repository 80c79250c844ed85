import type { Random } from "@mustardweir/kernel";

/** Draws from the normal distribution with mean 0 and standard deviation 1. */
export function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  return radius * Math.cos(2 * Math.PI * random.fraction());
}

/** Parameters of a log-normal distribution, and the bounds of its values. */
export interface LogNormalOptions {
  readonly median: number;
  /** Standard deviation of the logarithm. */
  readonly sigma: number;
  readonly min?: number;
  readonly max?: number;
}

/** Draws from a log-normal distribution, clamped to `min` and `max`. */
export function logNormal(random: Random, options: LogNormalOptions): number {
  const { median, sigma, min = 0, max = Infinity } = options;
  const value = median * Math.exp(sigma * normal(random));
  return Math.min(max, Math.max(min, value));
}

/** Draws the time to the next event of a Poisson process of that rate. */
export function exponential(random: Random, rate: number): number {
  return -Math.log(1 - random.fraction()) / rate;
}

/** Draws one of `items`, all equally likely. */
export function oneOf<Item>(random: Random, items: readonly Item[]): Item {
  return items[random.below(items.length)]!;
}
