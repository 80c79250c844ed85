import {
  type SyncCall,
  type SyncResult,
  SyncResultKind,
} from "@mustardweir/protocol";
import type { WorkerState } from "@mustardweir/worker";
import type { EventQueue } from "./event_queue.ts";

interface Waiter {
  readonly call: SyncCall;
  readonly respond: (result: SyncResult) => void;
}

/** A worker that answers at once, or when a long poll has news. */
export class PolledWorker {
  readonly state: WorkerState;
  readonly #queue: EventQueue;
  #waiters: Waiter[] = [];
  #wakeAt = Infinity;

  constructor(state: WorkerState, queue: EventQueue) {
    this.state = state;
    this.#queue = queue;
  }

  sync(call: SyncCall, respond: (result: SyncResult) => void): void {
    const result = this.state.sync(call, this.#queue.now);
    const waits = call.waitMs > 0 && call.starts.length === 0 &&
      result.kind === SyncResultKind.Synced && !this.state.hasNews(call);
    if (waits) {
      const waiter = { call, respond };
      this.#waiters.push(waiter);
      this.#queue.after(call.waitMs, () => this.#answer(waiter));
    } else {
      respond(result);
    }
    this.#settle();
  }

  #answer(waiter: Waiter): void {
    const others = this.#waiters.filter((other) => other !== waiter);
    if (others.length < this.#waiters.length) {
      this.#waiters = others;
      waiter.respond(this.state.sync(waiter.call, this.#queue.now));
    }
  }

  #settle(): void {
    this.state.advance(this.#queue.now);
    for (const waiter of [...this.#waiters]) {
      if (this.state.hasNews(waiter.call)) {
        this.#answer(waiter);
      }
    }
    this.#schedule();
  }

  #schedule(): void {
    const due = this.state.nextDue(this.#queue.now);
    if (due === Infinity || due >= this.#wakeAt) {
      return;
    }
    this.#wakeAt = due;
    this.#queue.after(due - this.#queue.now, () => {
      if (this.#wakeAt === due) {
        this.#wakeAt = Infinity;
        this.#settle();
      }
    });
  }
}
