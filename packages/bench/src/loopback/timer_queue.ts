interface TimedEvent {
  readonly at: number;
  readonly run: () => void;
}

/** What is to happen at later times, in milliseconds; first come, first run. */
export class EventQueue {
  #now = 0;
  readonly #times: number[] = [];
  readonly #eventsAt = new Map<number, TimedEvent[]>();

  get now(): number {
    return this.#now;
  }

  /** Has `run` called `delayMs` from now. */
  after(delayMs: number, run: () => void): void {
    const at = this.#now + Math.max(delayMs, 0);
    const events = this.#eventsAt.get(at);
    if (events === undefined) {
      this.#eventsAt.set(at, [{ at, run }]);
      this.#times.splice(this.#positionOf(at), 0, at);
    } else {
      events.push({ at, run });
    }
  }

  /** Runs what happens up to `until`, then sets the time to it. */
  runUntil(until: number): void {
    for (let at = this.#times.at(-1); at !== undefined && at <= until;) {
      this.#now = at;
      const events = this.#eventsAt.get(at)!;
      for (let index = 0; index < events.length; index++) {
        events[index]!.run();
      }
      this.#eventsAt.delete(at);
      this.#times.splice(this.#times.lastIndexOf(at), 1);
      at = this.#times.at(-1);
    }
    this.#now = until;
  }

  /** Times are kept in falling order: the next is at the end. */
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
