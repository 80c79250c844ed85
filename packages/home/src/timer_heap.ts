interface Timed<Item> {
  readonly at: number;
  readonly item: Item;
}

/**
 * Items by the time at which they are due, in milliseconds. Items are not
 * taken out before: whoever takes a due item checks that it still matters.
 *
 * @example
 * ```ts
 * const heap = new TimerHeap<HomeJob>();
 * heap.push(job.startBy, job);
 * heap.takeDue(update.now).forEach((job) => endIfLate(job));
 * ```
 */
export class TimerHeap<Item> {
  #entries: Timed<Item>[] = [];

  get size(): number {
    return this.#entries.length;
  }

  /** Adds an item; one that is never due is left out. */
  push(at: number, item: Item): void {
    if (at === Infinity) {
      return;
    }
    this.#entries.push({ at, item });
    this.#rise(this.#entries.length - 1);
  }

  /** Removes and returns the items that are due at `now`, soonest first. */
  takeDue(now: number): Item[] {
    const due: Item[] = [];
    while (this.#entries.length > 0 && this.#entries[0]!.at <= now) {
      due.push(this.#entries[0]!.item);
      this.#removeFirst();
    }
    return due;
  }

  /** Drops the items that do not matter any more. */
  retain(matters: (item: Item) => boolean): void {
    const kept = this.#entries.filter(({ item }) => matters(item));
    this.#entries = kept.sort((a, b) => a.at - b.at);
  }

  #removeFirst(): void {
    const last = this.#entries.pop();
    if (last !== undefined && this.#entries.length > 0) {
      this.#entries[0] = last;
      this.#sink(0);
    }
  }

  #rise(from: number): void {
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#at(parent) <= this.#at(index)) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #sink(from: number): void {
    let index = from;
    for (;;) {
      const left = 2 * index + 1;
      const smaller = this.#at(left + 1) < this.#at(left) ? left + 1 : left;
      if (this.#at(index) <= this.#at(smaller)) {
        return;
      }
      this.#swap(index, smaller);
      index = smaller;
    }
  }

  #at(index: number): number {
    return this.#entries[index]?.at ?? Infinity;
  }

  #swap(a: number, b: number): void {
    const entries = this.#entries;
    [entries[a], entries[b]] = [entries[b]!, entries[a]!];
  }
}
