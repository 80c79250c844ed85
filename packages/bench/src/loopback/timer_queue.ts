interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/**
 * Callbacks in virtual time, in milliseconds; those of equal time run in the
 * order in which they were added.
 */
export class TimerQueue {
  #now = 0;
  readonly #times: number[] = [];
  readonly #timersAt = new Map<number, Timer[]>();

  get now(): number {
    return this.#now;
  }

  /** Calls `run` in `delayMs` milliseconds. */
  after(delayMs: number, run: () => void): void {
    const at = this.#now + Math.max(delayMs, 0);
    const timers = this.#timersAt.get(at);
    if (timers === undefined) {
      this.#timersAt.set(at, [{ at, run }]);
      this.#times.splice(this.#positionOf(at), 0, at);
    } else {
      timers.push({ at, run });
    }
  }

  /** Runs the callbacks due up to `until`, then sets the time to `until`. */
  runUntil(until: number): void {
    for (let at = this.#times.at(-1); at !== undefined && at <= until;) {
      this.#now = at;
      const timers = this.#timersAt.get(at)!;
      for (let index = 0; index < timers.length; index++) {
        timers[index]!.run();
      }
      this.#timersAt.delete(at);
      this.#times.splice(this.#times.lastIndexOf(at), 1);
      at = this.#times.at(-1);
    }
    this.#now = until;
  }

  /** Times are sorted in descending order, so the next one is the last. */
  #positionOf(at: number): number {
    let low = 0;
    let high = this.#times.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#times[middle]! > at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
