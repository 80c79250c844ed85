/**
 * Time after which an entry that still can't be read is logged again, in
 * milliseconds.
 */
const REPEAT_MS = 600_000;
/** Maximum number of lines in each window. */
const MAX_LINES = 10;
const WINDOW_MS = 10_000;

/**
 * Decides which entries that can't be read are logged: the same one once, and
 * all together at a bounded rate. Their writers renew them every second or two.
 */
export class UnreadableLog {
  /** When each entry was logged, the earliest first. */
  readonly #loggedMs = new Map<string, number>();
  #windowStartMs = -Infinity;
  #lines = 0;

  /** Returns whether the entry is logged now. */
  admit(key: string, now: number): boolean {
    this.#forget(now);
    if (now - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = now;
      this.#lines = 0;
    }
    if (this.#loggedMs.has(key) || this.#lines >= MAX_LINES) {
      return false;
    }
    this.#loggedMs.set(key, now);
    this.#lines++;
    return true;
  }

  #forget(now: number): void {
    for (const [key, loggedMs] of this.#loggedMs) {
      if (now - loggedMs < REPEAT_MS) {
        return;
      }
      this.#loggedMs.delete(key);
    }
  }
}
