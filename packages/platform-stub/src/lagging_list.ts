interface Change<Item> {
  readonly at: number;
  readonly id: string;
  /** Undefined when the item was removed. */
  readonly item: Item | undefined;
}

/**
 * A list whose readers see changes only after a lag. Times are passed in, in
 * milliseconds of any monotonic clock.
 *
 * @example
 * ```ts
 * const list = new LaggingList<string>({ lagMs: 1_000 });
 * list.put("s1", { item: "leaving", now: 0 });
 * list.read(999); // []
 * list.read(1_000); // ["leaving"]
 * ```
 */
export class LaggingList<Item> {
  readonly #lagMs: number;
  readonly #visible = new Map<string, Item>();
  #pending: Change<Item>[] = [];

  constructor({ lagMs = 0 }: { readonly lagMs?: number } = {}) {
    this.#lagMs = lagMs;
  }

  /** Adds or replaces an item; readers see it after the lag. */
  put(id: string, { item, now }: { item: Item; now: number }): void {
    this.#pending.push({ at: now, id, item });
  }

  /** Removes an item; readers see it until the lag has passed. */
  remove(id: string, { now }: { now: number }): void {
    this.#pending.push({ at: now, id, item: undefined });
  }

  /** Returns the items as they were `lagMs` before `now`. */
  read(now: number): readonly Item[] {
    const visibleUntil = now - this.#lagMs;
    for (const change of this.#pending.filter(({ at }) => at <= visibleUntil)) {
      this.#apply(change);
    }
    this.#pending = this.#pending.filter(({ at }) => at > visibleUntil);
    return [...this.#visible.values()];
  }

  #apply({ id, item }: Change<Item>): void {
    if (item === undefined) {
      this.#visible.delete(id);
    } else {
      this.#visible.set(id, item);
    }
  }
}
