import { Priority } from "@mustardweir/model";
import type { Ask } from "@mustardweir/protocol";

/** An ask, a home's request for room for one task, that waits in a slice. */
export interface QueuedAsk {
  readonly ask: Ask;
  readonly receivedAt: number;
  readonly expiresAt: number;
}

/** Whether the ask is served before all asks that are not urgent. */
export function isUrgent({ ask }: QueuedAsk): boolean {
  return ask.task.priority === Priority.Urgent;
}

/**
 * The waiting asks of a team by sequence number: one queue of urgent asks and
 * one of the others, each with the oldest first.
 */
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

  /** Adds an ask, or replaces it and keeps its place in the queue. */
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

  /** Whether an ask of the job waits. */
  hasJob(jobId: string): boolean {
    for (const { ask } of this.values()) {
      if (ask.task.jobId === jobId) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the first ask for which `isPassedOver` returns false, urgent
   * asks first; undefined when there is none.
   *
   * @example
   * ```ts
   * const next = view.queue.first(({ ask }) =>
   *   unplaceable.covers(ask.task.size)
   * );
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
