/** Maximum number of retries in the budget of a team. */
const MAX_TOKENS = 50;

/** Retries added to the budget by each new call. */
const TOKENS_PER_CALL = 0.2;

/** Retries added to the budget per second. */
const TOKENS_PER_SECOND = 5;

/**
 * Limits how many calls of one team are sent again after no reply arrived, so
 * that retries do not add to an overload. A token bucket.
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

  /** Adds the retries that a new call contributes. */
  earn(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + TOKENS_PER_CALL);
  }

  /** Takes one retry; returns false if none is left at `now`. */
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
