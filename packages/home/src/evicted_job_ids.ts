/**
 * Bits of one generation; with 300,000 ids, 1 in 30 lookups of other ids is a
 * false positive.
 */
const FILTER_BITS = 2 ** 21;

/**
 * Length of a generation, in milliseconds; ids are kept for one to two of them.
 */
const GENERATION_MS = 10 * 60 * 1_000;

/** Number of bits that an id sets. */
const BITS_PER_ID = 4;

/** Number of hexadecimal digits of an id that select one of its bits. */
const DIGITS_PER_BIT = 6;

/**
 * Bloom filter of the ids of ended jobs that were evicted early: false
 * positives are possible, false negatives are not. Ids end in hexadecimal
 * digits of a hash, see {@link jobIdOf}.
 *
 * @example
 * ```ts
 * home.evicted.add(job.jobId, update.now);
 * const mayHaveRun = home.evicted.mayContain(jobId, update.now);
 * ```
 */
export class EvictedJobIds {
  #newer: Uint8Array | undefined;
  #older: Uint8Array | undefined;
  #startedAt = -Infinity;

  /** Adds an id. */
  add(jobId: string, now: number): void {
    this.#rotate(now);
    this.#newer ??= new Uint8Array(FILTER_BITS / 8);
    for (const bit of bitsOf(jobId)) {
      this.#newer[bit >> 3]! |= 1 << (bit & 7);
    }
  }

  /** False only if the id was not added within the last generation. */
  mayContain(jobId: string, now: number): boolean {
    this.#rotate(now);
    return has(this.#newer, jobId) || has(this.#older, jobId);
  }

  #rotate(now: number): void {
    if (now - this.#startedAt < GENERATION_MS) {
      return;
    }
    const isRecent = now - this.#startedAt < 2 * GENERATION_MS;
    this.#older = isRecent ? this.#newer : undefined;
    this.#newer = undefined;
    this.#startedAt = now;
  }
}

function has(bits: Uint8Array | undefined, jobId: string): boolean {
  return bits !== undefined &&
    bitsOf(jobId).every((bit) => (bits[bit >> 3]! & (1 << (bit & 7))) !== 0);
}

function bitsOf(jobId: string): number[] {
  const digits = jobId.slice(-BITS_PER_ID * DIGITS_PER_BIT);
  return Array.from({ length: BITS_PER_ID }, (_, index) => {
    const part = digits.slice(
      index * DIGITS_PER_BIT,
      (index + 1) * DIGITS_PER_BIT,
    );
    return Number.parseInt(part, 16) % FILTER_BITS;
  });
}
