/** Length of the parts that starts are counted in, in milliseconds. */
const BUCKET_MS = 250;

/** Parts that the rate is taken over. */
const BUCKETS = 8;

/**
 * How many requests a home got started lately.
 *
 * @example
 * ```ts
 * home.requestStarts.note(update.now);
 * const soon = home.requestStarts.perSecond(update.now) * limitSeconds;
 * ```
 */
export class StartRate {
  readonly #counts = new Array<number>(BUCKETS).fill(0);
  #newest = 0;
  #since: number | undefined;

  /** Notes a start. */
  note(now: number): void {
    this.#since ??= now;
    this.#advance(now);
    this.#counts[this.#newest % BUCKETS]! += 1;
  }

  /** Starts a second; undefined while too little is known. */
  perSecond(now: number): number | undefined {
    const spanMs = BUCKET_MS * (BUCKETS - 1);
    if (this.#since === undefined || now - this.#since < spanMs) {
      return undefined;
    }
    this.#advance(now);
    const starts = this.#counts.reduce((sum, count) => sum + count, 0);
    const partMs = now % BUCKET_MS;
    return starts / (spanMs + partMs) * 1_000;
  }

  #advance(now: number): void {
    const bucket = Math.floor(now / BUCKET_MS);
    const steps = Math.min(bucket - this.#newest, BUCKETS);
    for (let step = 0; step < steps; step++) {
      this.#counts[(bucket - step) % BUCKETS] = 0;
    }
    this.#newest = Math.max(this.#newest, bucket);
  }
}
