/**
 * Share of a node's link that starts may use; the rest is for renewals, ends
 * and commits, which must not wait behind them.
 */
const STARTS_SHARE = 0.5;
/** Longest time for which starts that are sent together occupy it, in ms. */
const MAX_BURST_MS = 100;
/** Approximate bytes of a start beyond its payload. */
const START_OVERHEAD_BYTES = 450;
const BYTES_PER_MS_PER_MBPS = 125;
/** Assumed speed of a link that isn't limited, in Mbit/s. */
const UNLIMITED_MBPS = 10_000;

/**
 * Bytes of starts that a node's link can carry. Starts beyond that would lie on
 * the link until they time out, and renewals behind them.
 *
 * @example
 * ```ts
 * const budget = new LinkBudget(identity.linkMbps);
 * const starts = budget.affordable(payloadBytes, update.now);
 * ```
 */
export class LinkBudget {
  readonly #bytesPerMs: number;
  #left: number;
  #updatedMs = -Infinity;

  /** `linkMbps` is undefined if the link's speed isn't known. */
  constructor(linkMbps: number | undefined) {
    this.#bytesPerMs = STARTS_SHARE * BYTES_PER_MS_PER_MBPS *
      (linkMbps ?? UNLIMITED_MBPS);
    this.#left = this.#bytesPerMs * MAX_BURST_MS;
  }

  /** Returns how many starts with a payload of this size can be sent now. */
  affordable(payloadBytes: number, now: number): number {
    this.#refill(now);
    return this.#left <= 0
      ? 0
      : Math.ceil(this.#left / (payloadBytes + START_OVERHEAD_BYTES));
  }

  /** Takes the bytes of starts that are being sent; may leave a debt. */
  spend(starts: number, payloadBytes: number, now: number): void {
    this.#refill(now);
    this.#left -= starts * (payloadBytes + START_OVERHEAD_BYTES);
  }

  /** Time until all starts so far are on their way, in milliseconds. */
  backlogMs(now: number): number {
    this.#refill(now);
    return this.#left >= 0 ? 0 : -this.#left / this.#bytesPerMs;
  }

  #refill(now: number): void {
    const elapsedMs = Math.max(0, now - this.#updatedMs);
    this.#updatedMs = now;
    this.#left = Math.min(
      this.#left + elapsedMs * this.#bytesPerMs,
      this.#bytesPerMs * MAX_BURST_MS,
    );
  }
}
