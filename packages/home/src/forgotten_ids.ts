/** Bits of one generation; with 300,000 ids one in 30 others seems known. */
const BITS = 2 ** 21;

/** Ids stay known for one to two times this, in milliseconds. */
const GENERATION_MS = 10 * 60 * 1_000;

/** Bits that an id sets. */
const HASHES = 4;

/** Hexadecimal digits of an id that one of its bits is chosen by. */
const DIGITS = 6;

/**
 * Ids of jobs that ended and were forgotten early. It may take an id for known
 * that is not, never the other way round. Ids end in hexadecimal digits of a
 * hash, see {@link jobIdOf}.
 *
 * @example
 * ```ts
 * home.forgotten.add(job.jobId, update.now);
 * const mayHaveRun = home.forgotten.mayHave(jobId, update.now);
 * ```
 */
export class ForgottenIds {
  #newer: Uint8Array | undefined;
  #older: Uint8Array | undefined;
  #startedAt = -Infinity;

  /** Notes an id. */
  add(jobId: string, now: number): void {
    this.#age(now);
    this.#newer ??= new Uint8Array(BITS / 8);
    for (const bit of bitsOf(jobId)) {
      this.#newer[bit >> 3]! |= 1 << (bit & 7);
    }
  }

  /** False when the id was not noted within a generation. */
  mayHave(jobId: string, now: number): boolean {
    this.#age(now);
    return has(this.#newer, jobId) || has(this.#older, jobId);
  }

  #age(now: number): void {
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
  const digits = jobId.slice(-HASHES * DIGITS);
  return Array.from({ length: HASHES }, (_, index) => {
    const part = digits.slice(index * DIGITS, (index + 1) * DIGITS);
    return Number.parseInt(part, 16) % BITS;
  });
}
