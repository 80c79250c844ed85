/** Length of a bucket in which starts are counted, in milliseconds. */
const BUCKET_MS = 250;

/** Number of buckets over which the rate is computed. */
const BUCKET_COUNT = 8;

/**
 * Rate at which the requests of a home started recently.
 *
 * @example
 * ```ts
 * home.requestStarts.record(update.now);
 * const soon = home.requestStarts.perSecond(update.now) * limitSeconds;
 * ```
 */
export class StartRate {
  readonly #counts = new Array<number>(BUCKET_COUNT).fill(0);
  #newestBucket = 0;
  #firstStartAt: number | undefined;

  /** Records a start. */
  record(now: number): void {
    this.#firstStartAt ??= now;
    this.#advance(now);
    this.#counts[this.#newestBucket % BUCKET_COUNT]! += 1;
  }

  /** Returns the starts per second; undefined shortly after the first start. */
  perSecond(now: number): number | undefined {
    const spanMs = BUCKET_MS * (BUCKET_COUNT - 1);
    if (this.#firstStartAt === undefined || now - this.#firstStartAt < spanMs) {
      return undefined;
    }
    this.#advance(now);
    const starts = this.#counts.reduce((sum, count) => sum + count, 0);
    const partMs = now % BUCKET_MS;
    return starts / (spanMs + partMs) * 1_000;
  }

  #advance(now: number): void {
    const bucket = Math.floor(now / BUCKET_MS);
    const steps = Math.min(bucket - this.#newestBucket, BUCKET_COUNT);
    for (let step = 0; step < steps; step++) {
      this.#counts[(bucket - step) % BUCKET_COUNT] = 0;
    }
    this.#newestBucket = Math.max(this.#newestBucket, bucket);
  }
}
