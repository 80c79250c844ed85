import type { Random } from "@mustardweir/kernel";

/** A normal number with mean 0 and standard deviation 1. */
export function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  return radius * Math.cos(2 * Math.PI * random.fraction());
}

/** A log-normal distribution and its bounds. */
export interface LogNormalOptions {
  readonly median: number;
  /** Standard deviation of the logarithm. */
  readonly sigma: number;
  readonly min?: number;
  readonly max?: number;
}

/** A heavy-tailed number, cut off at `min` and `max`. */
export function logNormal(random: Random, options: LogNormalOptions): number {
  const { median, sigma, min = 0, max = Infinity } = options;
  const value = median * Math.exp(sigma * normal(random));
  return Math.min(max, Math.max(min, value));
}

/** The time to the next of events that come at `rate`. */
export function exponential(random: Random, rate: number): number {
  return -Math.log(1 - random.fraction()) / rate;
}

/** One of `items`, each as likely as the others. */
export function oneOf<Item>(random: Random, items: readonly Item[]): Item {
  return items[random.below(items.length)]!;
}
