import {
  type SyncCall,
  type SyncResult,
  SyncResultKind,
} from "@mustardweir/protocol";
import { hasCommands } from "./commands.ts";
import type { WorkerFaults } from "./worker_faults.ts";
import { RunLog, type RunRecord } from "./worker_listener.ts";
import type { WorkerState } from "./worker_state.ts";

/** Longest delay of the timer, in milliseconds. */
const MAX_TIMER_MS = 60_000;

interface Waiter {
  readonly call: SyncCall;
  readonly deadlineMs: number;
  readonly resolve: (result: SyncResult) => void;
}

/**
 * Runs a {@link WorkerState} on the system clock. Handles long polls with a
 * single timer.
 */
export class HostedWorker {
  readonly id: string;
  readonly #state: WorkerState;
  readonly #log = new RunLog(performance.timeOrigin);
  readonly #waiters = new Set<Waiter>();
  #timer: NodeJS.Timeout | undefined;
  #closed = false;

  constructor(id: string, state: WorkerState) {
    this.id = id;
    this.#state = state;
    state.registerListener(this.#log);
  }

  /** The active faults. */
  get faults(): WorkerFaults {
    return this.#state.faults;
  }

  /** All task runs since the process started. */
  get runs(): readonly RunRecord[] {
    return this.#log.runs;
  }

  /**
   * Executes `call`. The reply to a call without commands is held back until
   * there is a change to report or the call's `waitMs` has passed. A call whose
   * `signal` is aborted gets no reply.
   */
  sync(call: SyncCall, signal: AbortSignal): Promise<SyncResult> {
    const now = performance.now();
    const result = this.#state.sync(call, now);
    const waits = !this.#closed && call.waitMs > 0 &&
      result.kind === SyncResultKind.Synced &&
      !hasCommands(call) && !this.#state.hasUnreportedChanges(call);
    const reply = waits ? this.#wait(call, signal) : Promise.resolve(result);
    this.#processDueCalls();
    return reply;
  }

  /** Sets the given faults and leaves the others unchanged. */
  setFaults(faults: Partial<WorkerFaults>): void {
    this.#state.setFaults(faults);
  }

  /** Discards all tasks and state, as when the instance fails. */
  restart(): void {
    this.#state.restart(performance.now());
    this.#processDueCalls();
  }

  /** Replies to waiting calls and stops the timer; later calls don't wait. */
  close(): void {
    this.#closed = true;
    for (const waiter of [...this.#waiters]) {
      this.#resolveWaiter(waiter, performance.now());
    }
    clearTimeout(this.#timer);
  }

  #wait(call: SyncCall, signal: AbortSignal): Promise<SyncResult> {
    return new Promise((resolve) => {
      const deadlineMs = performance.now() + call.waitMs;
      const waiter = { call, deadlineMs, resolve };
      this.#waiters.add(waiter);
      signal.addEventListener("abort", () => this.#waiters.delete(waiter));
    });
  }

  /**
   * Replies to waiting calls whose deadline has passed or that have a change to
   * report, then reschedules the timer.
   */
  #processDueCalls(): void {
    const now = performance.now();
    this.#state.advance(now);
    for (const waiter of [...this.#waiters]) {
      if (
        waiter.deadlineMs <= now ||
        this.#state.hasUnreportedChanges(waiter.call)
      ) {
        this.#resolveWaiter(waiter, now);
      }
    }
    this.#schedule(now);
  }

  #resolveWaiter(waiter: Waiter, now: number): void {
    this.#waiters.delete(waiter);
    waiter.resolve(this.#state.sync(waiter.call, now));
  }

  #schedule(now: number): void {
    clearTimeout(this.#timer);
    let dueMs = this.#state.nextDue(now);
    for (const waiter of this.#waiters) {
      dueMs = Math.min(dueMs, waiter.deadlineMs);
    }
    if (dueMs < Infinity && !this.#closed) {
      const delayMs = Math.min(Math.ceil(dueMs - now), MAX_TIMER_MS);
      this.#timer = setTimeout(() => this.#processDueCalls(), delayMs);
    }
  }
}
