interface Timed<Item> {
  readonly at: number;
  readonly item: Item;
}

/**
 * Heap of items by the time at which they are due, in milliseconds. Items can't
 * be removed earlier: the caller checks whether a due item is still relevant.
 *
 * @example
 * ```ts
 * const heap = new TimerHeap<HomeJob>();
 * heap.push(job.startBy, job);
 * heap.takeDue(update.now).forEach((job) => endIfOverdue(job));
 * ```
 */
export class TimerHeap<Item> {
  #entries: Timed<Item>[] = [];

  get size(): number {
    return this.#entries.length;
  }

  /** Adds an item; one that is due at Infinity is ignored. */
  push(at: number, item: Item): void {
    if (at === Infinity) {
      return;
    }
    this.#entries.push({ at, item });
    this.#siftUp(this.#entries.length - 1);
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

  /** Removes the items for which `isRelevant` returns false. */
  retain(isRelevant: (item: Item) => boolean): void {
    const kept = this.#entries.filter(({ item }) => isRelevant(item));
    this.#entries = kept.sort((a, b) => a.at - b.at);
  }

  #removeFirst(): void {
    const last = this.#entries.pop();
    if (last !== undefined && this.#entries.length > 0) {
      this.#entries[0] = last;
      this.#siftDown(0);
    }
  }

  #siftUp(from: number): void {
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

  #siftDown(from: number): void {
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
