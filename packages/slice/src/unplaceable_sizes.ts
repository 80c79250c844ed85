import { fitsWithin, type Resources } from "@mustardweir/model";

/** Maximum number of sizes; for a dropped one the search is repeated. */
const MAX_SIZES = 16;

/**
 * Caches sizes for which no instance has room, until some instance may have
 * more. No search is needed for a size that is at least as large as one of
 * them in every dimension.
 *
 * @example
 * ```ts
 * if (!slice.unplaceable.covers(ask.task.size)) search();
 * ```
 */
export class UnplaceableSizes {
  #sizes: Resources[] = [];

  /** Whether `size` is known to fit on no instance. */
  covers(size: Resources): boolean {
    return this.#sizes.some((known) => fitsWithin(known, size));
  }

  /** Records that `size` fits on no instance. */
  add(size: Resources): void {
    const others = this.#sizes.filter((known) => !fitsWithin(size, known));
    this.#sizes = [size, ...others].slice(0, MAX_SIZES);
  }

  /** Drops all sizes; called when an instance may have more room. */
  clear(): void {
    this.#sizes = [];
  }
}
