/** Priority queue of items by time: a binary heap. */
export class EventQueue<Item> {
  readonly #times: number[] = [];
  readonly #items: Item[] = [];

  get size(): number {
    return this.#times.length;
  }

  /** Time of the first item; Infinity if the queue is empty. */
  get nextTime(): number {
    return this.#times[0] ?? Infinity;
  }

  push(time: number, item: Item): void {
    let at = this.size;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (this.#times[parent]! <= time) {
        break;
      }
      this.#move(parent, at);
      at = parent;
    }
    this.#times[at] = time;
    this.#items[at] = item;
  }

  /** Removes and returns the first item; undefined if the queue is empty. */
  pop(): Item | undefined {
    const first = this.#items[0];
    const time = this.#times.pop();
    const item = this.#items.pop();
    if (this.size > 0) {
      this.#sink(time!, item!);
    }
    return first;
  }

  #sink(time: number, item: Item): void {
    let at = 0;
    while (2 * at + 1 < this.size) {
      const left = 2 * at + 1;
      const right = left + 1;
      const useRight = right < this.size &&
        this.#times[right]! < this.#times[left]!;
      const child = useRight ? right : left;
      if (this.#times[child]! >= time) {
        break;
      }
      this.#move(child, at);
      at = child;
    }
    this.#times[at] = time;
    this.#items[at] = item;
  }

  #move(from: number, to: number): void {
    this.#times[to] = this.#times[from]!;
    this.#items[to] = this.#items[from]!;
  }
}
