/**
 * Delay of the timer itself from which the process counts as having been late,
 * in milliseconds.
 */
const MIN_LATENESS_MS = 15;

/** Options of a {@link ReplyTimeout}. */
export interface ReplyTimeoutOptions {
  /** Time that the other side has for its reply, in milliseconds. */
  readonly timeoutMs: number;
  readonly onTimeout: () => void;
  /** Monotonic time in milliseconds; that of the process by default. */
  readonly now?: () => number;
}

/**
 * A timeout for a reply. If the timer itself fires late, the process was busy
 * or paused and the reply may have arrived meanwhile without being read: the
 * other side then gets the time by which the timer was late once more.
 *
 * @example
 * ```ts
 * const timeout = new ReplyTimeout({ timeoutMs: 250, onTimeout: abort });
 * socket.once("data", () => timeout.clear());
 * ```
 */
export class ReplyTimeout {
  readonly #onTimeout: () => void;
  readonly #timeoutMs: number;
  readonly #now: () => number;
  readonly #dueMs: number;
  #timer: NodeJS.Timeout;
  #lastTurn: NodeJS.Immediate | undefined;

  constructor(options: ReplyTimeoutOptions) {
    const { timeoutMs, onTimeout, now = () => performance.now() } = options;
    this.#timeoutMs = timeoutMs;
    this.#onTimeout = onTimeout;
    this.#now = now;
    this.#dueMs = now() + timeoutMs;
    this.#timer = setTimeout(() => this.#handleDue(), timeoutMs);
  }

  /** Cancels the timeout. */
  clear(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#lastTurn);
  }

  #handleDue(): void {
    const lateMs = this.#now() - this.#dueMs;
    if (lateMs < MIN_LATENESS_MS) {
      this.#expireAfterTurn();
      return;
    }
    this.#timer = setTimeout(
      () => this.#expireAfterTurn(),
      Math.min(lateMs, this.#timeoutMs),
    );
  }

  /** Lets the replies be read first that arrived before the timer fired. */
  #expireAfterTurn(): void {
    this.#lastTurn = setImmediate(this.#onTimeout);
  }
}
