/** An encoded message. */
export interface OutgoingMessage {
  readonly kind: number;
  readonly body: Uint8Array;
}

/** Limits of an outbox. */
export interface OutboxOptions {
  /** When more are queued, the oldest are dropped. */
  readonly maxMessages: number;
  /**
   * When the bodies of more than one queued message have more bytes in total,
   * the oldest are dropped.
   */
  readonly maxBytes: number;
  /** Messages queued for longer are dropped, in milliseconds. */
  readonly maxAgeMs: number;
}

interface QueuedMessage extends OutgoingMessage {
  readonly addedAt: number;
}

/**
 * A queue of messages to one peer, in order. It drops the oldest when it is
 * full: senders repeat important messages, and the newest is the most useful.
 */
export class Outbox {
  readonly #options: OutboxOptions;
  #queue: QueuedMessage[] = [];
  #bytes = 0;

  constructor(options: OutboxOptions) {
    this.#options = options;
  }

  /** The number of queued messages. */
  get size(): number {
    return this.#queue.length;
  }

  /** Adds a message; returns how many old messages were dropped. */
  add(message: OutgoingMessage, now: number): number {
    this.#queue.push({ ...message, addedAt: now });
    this.#bytes += message.body.length;
    const excess = this.#countExcess();
    if (excess > 0) {
      this.#remove(excess);
    }
    return excess;
  }

  /** Drops messages queued for too long; returns how many. */
  expire(now: number): number {
    const oldest = now - this.#options.maxAgeMs;
    const firstFresh = this.#queue.findIndex(({ addedAt }) =>
      addedAt >= oldest
    );
    const expired = firstFresh === -1 ? this.#queue.length : firstFresh;
    if (expired > 0) {
      this.#remove(expired);
    }
    return expired;
  }

  /**
   * Removes and returns the oldest messages, up to `maxBytes` in total, but at
   * least one if any is queued.
   */
  take(maxBytes: number): readonly OutgoingMessage[] {
    let bytes = 0;
    let taken = 0;
    for (const { body } of this.#queue) {
      bytes += body.length;
      if (taken > 0 && bytes > maxBytes) {
        break;
      }
      taken += 1;
    }
    return this.#remove(taken);
  }

  /** Returns how many of the oldest messages exceed the limits. */
  #countExcess(): number {
    const { maxMessages, maxBytes } = this.#options;
    let excess = Math.max(0, this.#queue.length - maxMessages);
    let bytes = this.#bytes;
    for (let index = 0; index < this.#queue.length - 1; index++) {
      if (index >= excess && bytes <= maxBytes) {
        break;
      }
      bytes -= this.#queue[index]!.body.length;
      excess = Math.max(excess, index + 1);
    }
    return excess;
  }

  #remove(count: number): QueuedMessage[] {
    const removed = this.#queue.splice(0, count);
    for (const { body } of removed) {
      this.#bytes -= body.length;
    }
    return removed;
  }
}
