/** Retries that a team may have saved up. */
const MAX_TOKENS = 50;

/** Retries earned by each new call. */
const TOKENS_PER_CALL = 0.2;

/** Retries earned by passing time. */
const TOKENS_PER_SECOND = 5;

/**
 * Limits the calls of one team that are sent again because no answer came,
 * so that retries do not add to an overload.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget(update.now);
 * if (budget.take(update.now)) resend(call);
 * ```
 */
export class RetryBudget {
  #tokens = MAX_TOKENS;
  #filledAt: number;

  /** @param now time in milliseconds */
  constructor(now: number) {
    this.#filledAt = now;
  }

  /** Adds what a new call earns. */
  earn(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + TOKENS_PER_CALL);
  }

  /** Takes one retry; false when there is none left at `now`. */
  take(now: number): boolean {
    const earned = (now - this.#filledAt) / 1000 * TOKENS_PER_SECOND;
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + earned);
    this.#filledAt = now;
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
