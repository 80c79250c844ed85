import { fitsWithin, type Resources } from "@mustardweir/model";

/** Most sizes that are kept; a size that is not kept is looked for again. */
const MAX_SIZES = 16;

/**
 * Sizes that no instance has room for, until some instance gets more room.
 * What is at least as large as one of them needs not be looked for.
 *
 * @example
 * ```ts
 * if (!slice.noRoom.covers(ask.task.size)) look();
 * ```
 */
export class NoRoom {
  #sizes: Resources[] = [];

  /** True when `size` is known to fit nowhere. */
  covers(size: Resources): boolean {
    return this.#sizes.some((known) => fitsWithin(known, size));
  }

  /** Notes that nothing of `size` fits. */
  note(size: Resources): void {
    const others = this.#sizes.filter((known) => !fitsWithin(size, known));
    this.#sizes = [size, ...others].slice(0, MAX_SIZES);
  }

  /** Some instance may have more room than before. */
  clear(): void {
    this.#sizes = [];
  }
}
