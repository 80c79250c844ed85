/** An encoded message that waits for a link. */
export interface OutgoingMessage {
  readonly kind: number;
  readonly body: Uint8Array;
}

/** Bounds of what waits for a link; the oldest messages are dropped. */
export interface OutboxOptions {
  readonly maxMessages: number;
  /** Messages that have waited longer are dropped, in milliseconds. */
  readonly maxAgeMs: number;
}

interface WaitingMessage extends OutgoingMessage {
  readonly addedAt: number;
}

/**
 * Messages to one peer, in order. Full, it drops the oldest: senders repeat
 * what matters, and the newest says most.
 */
export class Outbox {
  readonly #options: OutboxOptions;
  #waiting: WaitingMessage[] = [];

  constructor(options: OutboxOptions) {
    this.#options = options;
  }

  /** Messages that wait. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Adds a message and returns how many were dropped for it. */
  add(message: OutgoingMessage, now: number): number {
    this.#waiting.push({ ...message, addedAt: now });
    const excess = this.#waiting.length - this.#options.maxMessages;
    if (excess <= 0) {
      return 0;
    }
    this.#waiting.splice(0, excess);
    return excess;
  }

  /** Drops what has waited too long and returns how many that were. */
  expire(now: number): number {
    const oldest = now - this.#options.maxAgeMs;
    const fresh = this.#waiting.findIndex(({ addedAt }) => addedAt >= oldest);
    const expired = fresh === -1 ? this.#waiting.length : fresh;
    if (expired > 0) {
      this.#waiting.splice(0, expired);
    }
    return expired;
  }

  /** Removes the first messages, at most `maxBytes` unless one is larger. */
  take(maxBytes: number): readonly OutgoingMessage[] {
    let bytes = 0;
    let taken = 0;
    for (const { body } of this.#waiting) {
      bytes += body.length;
      if (taken > 0 && bytes > maxBytes) {
        break;
      }
      taken += 1;
    }
    return this.#waiting.splice(0, taken);
  }
}
