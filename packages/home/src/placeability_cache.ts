import { fitsWithin, type Resources } from "@mustardweir/model";

/** A size that a slice recently had no room for. */
interface UnplaceableSize {
  readonly size: Resources;
  /** Time at which the entry expires, in milliseconds. */
  readonly until: number;
}

/** Largest number of sizes that are kept per slice. */
const MAX_SIZES = 16;

/** How long a slice is assumed to have no room for a size, in milliseconds. */
const UNPLACEABLE_MS = 1_000;

/**
 * Caches the sizes that recently found no room in a slice. The sum of its free
 * room is not enough to decide: it may be spread over instances each of which
 * is too full.
 *
 * @example
 * ```ts
 * view.placeability.markUnplaceable(task.job.size, update.now);
 * const hasRoom = !view.placeability.isUnplaceable(size, update.now);
 * ```
 */
export class PlaceabilityCache {
  #sizes: UnplaceableSize[] = [];

  /**
   * True if the slice recently had no room for `size` or for a smaller size.
   */
  isUnplaceable(size: Resources, now: number): boolean {
    return this.#sizes.some((tight) =>
      now < tight.until && fitsWithin(tight.size, size)
    );
  }

  /** Records that `size` found no room. */
  markUnplaceable(size: Resources, now: number): void {
    const others = this.#sizes.filter((tight) =>
      now < tight.until && !fitsWithin(size, tight.size)
    );
    const tight = { size, until: now + UNPLACEABLE_MS };
    this.#sizes = [tight, ...others].slice(0, MAX_SIZES);
  }

  /**
   * Records that `size` found room; sizes that are not larger may fit as well.
   */
  markPlaceable(size: Resources): void {
    if (this.#sizes.length > 0) {
      this.#sizes = this.#sizes.filter((tight) =>
        !fitsWithin(tight.size, size)
      );
    }
  }
}
