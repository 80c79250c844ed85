import {
  type SyncCall,
  type SyncResult,
  SyncResultKind,
} from "@mustardweir/protocol";
import type { WorkerState } from "@mustardweir/worker";
import type { TimerQueue } from "./timer_queue.ts";

interface PendingPoll {
  readonly call: SyncCall;
  readonly respond: (result: SyncResult) => void;
}

/**
 * A worker in virtual time. It replies to a long poll when it has unreported
 * changes or the poll's `waitMs` has passed, and to other calls at once.
 */
export class PolledWorker {
  readonly state: WorkerState;
  readonly #queue: TimerQueue;
  #pendingPolls: PendingPoll[] = [];
  #nextAdvanceAt = Infinity;

  constructor(state: WorkerState, queue: TimerQueue) {
    this.state = state;
    this.#queue = queue;
  }

  sync(call: SyncCall, respond: (result: SyncResult) => void): void {
    const result = this.state.sync(call, this.#queue.now);
    const isPending = call.waitMs > 0 && call.starts.length === 0 &&
      result.kind === SyncResultKind.Synced &&
      !this.state.hasUnreportedChanges(call);
    if (isPending) {
      const pendingPoll = { call, respond };
      this.#pendingPolls.push(pendingPoll);
      this.#queue.after(call.waitMs, () => this.#respond(pendingPoll));
    } else {
      respond(result);
    }
    this.#advance();
  }

  #respond(pendingPoll: PendingPoll): void {
    const others = this.#pendingPolls.filter((other) => other !== pendingPoll);
    if (others.length < this.#pendingPolls.length) {
      this.#pendingPolls = others;
      pendingPoll.respond(this.state.sync(pendingPoll.call, this.#queue.now));
    }
  }

  #advance(): void {
    this.state.advance(this.#queue.now);
    for (const pendingPoll of [...this.#pendingPolls]) {
      if (this.state.hasUnreportedChanges(pendingPoll.call)) {
        this.#respond(pendingPoll);
      }
    }
    this.#schedule();
  }

  #schedule(): void {
    const due = this.state.nextDue(this.#queue.now);
    if (due === Infinity || due >= this.#nextAdvanceAt) {
      return;
    }
    this.#nextAdvanceAt = due;
    this.#queue.after(due - this.#queue.now, () => {
      if (this.#nextAdvanceAt === due) {
        this.#nextAdvanceAt = Infinity;
        this.#advance();
      }
    });
  }
}
