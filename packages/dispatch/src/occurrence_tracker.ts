/** What is known of the occurrences of a job when its run is created. */
export interface OccurrenceOptions {
  /** Number of occurrences of the job. */
  readonly total: number;
  /** Number of leading occurrences that are done; 0 by default. */
  readonly settled?: number;
  /** Other occurrences that are done; none by default. */
  readonly done?: Iterable<number>;
  /** Occurrences with recorded progress that aren't done; none by default. */
  readonly recorded?: readonly number[];
}

/**
 * Tracks which occurrences of a job are due, open and done. What it costs depends
 * on the open occurrences and on those that were done out of order, not on the
 * number of due times.
 *
 * @example
 * ```ts
 * const tracker = new OccurrenceTracker({ total: 10_080 });
 * tracker.raiseDue(2);
 * tracker.open(tracker.takeDue()!); // 0
 * ```
 */
export class OccurrenceTracker {
  readonly #total: number;
  readonly #recorded: readonly number[];
  /** Number of entries of `#recorded` that have been taken. */
  #taken = 0;
  #due = 0;
  /** First occurrence that hasn't been taken in order. */
  #next: number;
  #settled: number;
  /** Occurrences from `#settled` on that are done. */
  readonly #done = new Set<number>();
  readonly #open = new Set<number>();
  /** Open occurrences of which nothing has run. */
  readonly #unbegun = new Set<number>();
  /** Occurrences from `#next` on that are open or done, or are recorded. */
  readonly #ahead = new Set<number>();

  constructor(
    { total, settled = 0, done = [], recorded = [] }: OccurrenceOptions,
  ) {
    this.#total = total;
    this.#settled = Math.min(settled, total);
    this.#next = this.#settled;
    this.#recorded = recorded;
    recorded.forEach((occurrence) => this.#ahead.add(occurrence));
    for (const occurrence of done) {
      this.#ahead.add(occurrence);
      this.#done.add(occurrence);
    }
    this.#settle();
  }

  /** Number of leading occurrences that are done. */
  get settled(): number {
    return this.#settled;
  }

  /** Whether all occurrences are done. */
  get isSettled(): boolean {
    return this.#settled >= this.#total;
  }

  /** Number of occurrences that are due. */
  get due(): number {
    return this.#due;
  }

  /** Number of open occurrences of which nothing has run. */
  get unbegun(): number {
    return this.#unbegun.size;
  }

  /** Number of due occurrences that haven't been opened. */
  get unopened(): number {
    let ahead = 0;
    for (const occurrence of this.#ahead) {
      ahead += occurrence < this.#due ? 1 : 0;
    }
    const recorded = this.#recorded.length - this.#taken;
    return Math.max(0, this.#due - this.#next - ahead) + recorded;
  }

  /** Whether occurrences with recorded progress have yet to be taken. */
  get hasRecorded(): boolean {
    return this.#taken < this.#recorded.length;
  }

  /** Returns whether the occurrence is done. */
  isDone(occurrence: number): boolean {
    return occurrence < this.#settled || this.#done.has(occurrence);
  }

  /** Returns whether there is such an occurrence that is neither open nor done. */
  canOpen(occurrence: number): boolean {
    return occurrence >= 0 && occurrence < this.#total &&
      !this.#open.has(occurrence) && !this.isDone(occurrence);
  }

  /** Notes that the first `count` occurrences are due; they remain so. */
  raiseDue(count: number): void {
    this.#due = Math.max(this.#due, Math.min(count, this.#total));
  }

  /** Takes the next occurrence with recorded progress. */
  takeRecorded(): number | undefined {
    while (this.hasRecorded) {
      const occurrence = this.#recorded[this.#taken++]!;
      if (this.canOpen(occurrence)) {
        return occurrence;
      }
    }
    return undefined;
  }

  /** Takes the next occurrence that is due. */
  takeDue(): number | undefined {
    while (this.#ahead.delete(this.#next)) {
      this.#next++;
    }
    return this.#next < this.#due ? this.#next++ : undefined;
  }

  /** Notes that the occurrence has stages that can run. */
  open(occurrence: number): void {
    this.#open.add(occurrence);
    this.#unbegun.add(occurrence);
    if (occurrence >= this.#next) {
      this.#ahead.add(occurrence);
    }
  }

  /** Notes that a task of the occurrence has run. */
  begin(occurrence: number): void {
    this.#unbegun.delete(occurrence);
  }

  /** Notes that all tasks of the occurrence are done. */
  finish(occurrence: number): void {
    this.#open.delete(occurrence);
    this.#unbegun.delete(occurrence);
    this.#done.add(occurrence);
    this.#settle();
  }

  #settle(): void {
    while (this.#done.delete(this.#settled)) {
      this.#settled++;
    }
  }
}
