import { fitsWithin, type Resources } from "@mustardweir/model";

/** A size that a slice is not believed to have room for. */
interface TightSize {
  readonly size: Resources;
  /** Believed until then, in milliseconds. */
  readonly until: number;
}

/** Most sizes that are kept of one slice. */
const MAX_SIZES = 16;

/** How long a slice is believed to have no room for a size. */
const TIGHT_MS = 1_000;

/**
 * Sizes that found no room in a slice lately. The sum of its free room does
 * not tell: it may be spread over instances that are each too full.
 *
 * @example
 * ```ts
 * view.tight.note(task.job.size, update.now);
 * const hasRoom = !view.tight.covers(other.job.size, update.now);
 * ```
 */
export class TightRoom {
  #sizes: TightSize[] = [];

  /** True when the slice has no room for `size` as far as is known. */
  covers(size: Resources, now: number): boolean {
    return this.#sizes.some((tight) =>
      now < tight.until && fitsWithin(tight.size, size)
    );
  }

  /** Notes that `size` found no room. */
  note(size: Resources, now: number): void {
    const others = this.#sizes.filter((tight) =>
      now < tight.until && !fitsWithin(size, tight.size)
    );
    const tight = { size, until: now + TIGHT_MS };
    this.#sizes = [tight, ...others].slice(0, MAX_SIZES);
  }

  /** Notes that `size` found room: what is not larger may, too. */
  noteRoom(size: Resources): void {
    if (this.#sizes.length > 0) {
      this.#sizes = this.#sizes.filter((tight) =>
        !fitsWithin(tight.size, size)
      );
    }
  }
}
