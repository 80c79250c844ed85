import type { TaskFailures } from "@mustardweir/model";

/** Number of the latest attempts that are kept to tell them from new ones. */
const MAX_ATTEMPTS = 8;

const NO_FAILURES: TaskFailures = { count: 0, attempts: [] };

/**
 * Counts the failed attempts of a task or a gang. An attempt counts once, however
 * often and by whichever member of the gang its end is reported.
 *
 * @example
 * ```ts
 * const log = new FailureLog();
 * log.add(1001); // true
 * log.add(1001); // false
 * log.count; // 1
 * ```
 */
export class FailureLog {
  #count: number;
  #attempts: readonly number[];

  constructor({ count, attempts }: TaskFailures = NO_FAILURES) {
    this.#count = count;
    this.#attempts = attempts;
  }

  /** Number of failed attempts. */
  get count(): number {
    return this.#count;
  }

  /** Whether attempts were counted by an earlier version, which kept no numbers. */
  get isAnonymous(): boolean {
    return this.#count > 0 && this.#attempts.length === 0;
  }

  /** The failures as they are recorded. */
  get record(): TaskFailures {
    return { count: this.#count, attempts: this.#attempts };
  }

  /** Counts the attempt; returns whether it hasn't been counted before. */
  add(attempt: number): boolean {
    const isKnown = this.#attempts.includes(attempt) ||
      (this.#attempts.length === MAX_ATTEMPTS &&
        attempt < Math.min(...this.#attempts));
    if (!isKnown) {
      this.#count++;
      this.#keep(attempt);
    }
    return !isKnown;
  }

  /** Notes that the attempt is one of those that were counted without number. */
  identify(attempt: number): void {
    this.#keep(attempt);
  }

  #keep(attempt: number): void {
    this.#attempts = [...this.#attempts, attempt].slice(-MAX_ATTEMPTS);
  }
}
