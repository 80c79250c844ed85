interface TimedEvent {
  readonly at: number;
  /** Sequence number; orders events that are scheduled for the same time. */
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time in milliseconds, with the queue of scheduled events. */
export class VirtualClock {
  #now = 0;
  #order = 0;
  readonly #heap: TimedEvent[] = [];

  get now(): number {
    return this.#now;
  }

  /** Schedules `run` for `delayMs` from now. */
  after(delayMs: number, run: () => void): void {
    const at = this.#now + Math.max(delayMs, 0);
    this.#push({ at, order: this.#order++, run });
  }

  /** Runs all events up to `until`, then sets the time to `until`. */
  runUntil(until: number): void {
    for (
      let next = this.#heap[0];
      next !== undefined && next.at <= until;
      next = this.#heap[0]
    ) {
      this.#pop();
      this.#now = next.at;
      next.run();
    }
    this.#now = until;
  }

  #push(event: TimedEvent): void {
    const heap = this.#heap;
    heap.push(event);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    heap[0] = last;
    let index = 0;
    for (;;) {
      const child = this.#smallerChild(index);
      if (child === undefined || !isBefore(heap[child]!, heap[index]!)) {
        return;
      }
      this.#swap(index, child);
      index = child;
    }
  }

  #smallerChild(index: number): number | undefined {
    const heap = this.#heap;
    const left = 2 * index + 1;
    if (left >= heap.length) {
      return undefined;
    }
    const right = left + 1;
    return right < heap.length && isBefore(heap[right]!, heap[left]!)
      ? right
      : left;
  }

  #swap(a: number, b: number): void {
    const heap = this.#heap;
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  }
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
