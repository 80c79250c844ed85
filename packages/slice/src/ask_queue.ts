import { Priority } from "@mustardweir/model";
import type { Ask } from "@mustardweir/protocol";

/** An ask that waits for room. */
export interface QueuedAsk {
  readonly ask: Ask;
  readonly receivedAt: number;
  readonly expiresAt: number;
}

/** True when the ask goes before those that are not urgent. */
export function isUrgent({ ask }: QueuedAsk): boolean {
  return ask.task.priority === Priority.Urgent;
}

/** A team's asks by their sequence, urgent ones apart, oldest first. */
export class AskQueue {
  readonly #urgent = new Map<number, QueuedAsk>();
  readonly #normal = new Map<number, QueuedAsk>();

  get size(): number {
    return this.#urgent.size + this.#normal.size;
  }

  has(seq: number): boolean {
    return this.#urgent.has(seq) || this.#normal.has(seq);
  }

  get(seq: number): QueuedAsk | undefined {
    return this.#urgent.get(seq) ?? this.#normal.get(seq);
  }

  /** Adds an ask, or replaces it in its place. */
  set(queued: QueuedAsk): void {
    const asks = isUrgent(queued) ? this.#urgent : this.#normal;
    asks.set(queued.ask.seq, queued);
  }

  delete(seq: number): void {
    this.#urgent.delete(seq);
    this.#normal.delete(seq);
  }

  clear(): void {
    this.#urgent.clear();
    this.#normal.clear();
  }

  /** All asks, urgent ones first. */
  *values(): Generator<QueuedAsk> {
    yield* this.#urgent.values();
    yield* this.#normal.values();
  }

  /** True when an ask of the job waits. */
  hasJob(jobId: string): boolean {
    for (const { ask } of this.values()) {
      if (ask.task.jobId === jobId) {
        return true;
      }
    }
    return false;
  }

  /**
   * The first ask that is not passed over.
   *
   * @example
   * ```ts
   * const next = view.queue.first(({ ask }) => noRoom.covers(ask.task.size));
   * ```
   */
  first(isPassedOver: (queued: QueuedAsk) => boolean): QueuedAsk | undefined {
    return firstOf(this.#urgent, isPassedOver) ??
      firstOf(this.#normal, isPassedOver);
  }
}

function firstOf(
  asks: ReadonlyMap<number, QueuedAsk>,
  isPassedOver: (queued: QueuedAsk) => boolean,
): QueuedAsk | undefined {
  for (const queued of asks.values()) {
    if (!isPassedOver(queued)) {
      return queued;
    }
  }
  return undefined;
}
