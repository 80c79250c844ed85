import {
  type SyncCall,
  type SyncResult,
  SyncResultKind,
} from "@mustardweir/protocol";
import { hasCommands } from "./commands.ts";
import type { WorkerFaults } from "./worker_faults.ts";
import { RunLog, type RunRecord } from "./worker_listener.ts";
import type { WorkerState } from "./worker_state.ts";

/** Longest sleep of a timer, in milliseconds. */
const MAX_SLEEP_MS = 60_000;

interface Waiter {
  readonly call: SyncCall;
  readonly deadlineMs: number;
  readonly resolve: (result: SyncResult) => void;
}

/** A worker on the system's clock: long polls and the one timer they need. */
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

  /** Which faults are on. */
  get faults(): WorkerFaults {
    return this.#state.faults;
  }

  /** Every run since the process started. */
  get runs(): readonly RunRecord[] {
    return this.#log.runs;
  }

  /**
   * Carries out `call`. The answer to a call without commands waits for news
   * up to the call's `waitMs`, or until `signal` is aborted.
   */
  sync(call: SyncCall, signal: AbortSignal): Promise<SyncResult> {
    const now = performance.now();
    const result = this.#state.sync(call, now);
    const waits = !this.#closed && call.waitMs > 0 &&
      result.kind === SyncResultKind.Synced &&
      !hasCommands(call) && !this.#state.hasNews(call);
    const answer = waits ? this.#wait(call, signal) : Promise.resolve(result);
    this.#settle();
    return answer;
  }

  /** Changes the faults that are given and keeps the others. */
  setFaults(faults: Partial<WorkerFaults>): void {
    this.#state.setFaults(faults);
  }

  /** Loses all tasks and memory, as when the instance fails. */
  restart(): void {
    this.#state.restart(performance.now());
    this.#settle();
  }

  /** Answers the waiting calls and stops the timer; later calls don't wait. */
  close(): void {
    this.#closed = true;
    for (const waiter of [...this.#waiters]) {
      this.#answer(waiter, performance.now());
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

  /** Answers the calls that have waited enough and sets the timer anew. */
  #settle(): void {
    const now = performance.now();
    this.#state.advance(now);
    for (const waiter of [...this.#waiters]) {
      if (waiter.deadlineMs <= now || this.#state.hasNews(waiter.call)) {
        this.#answer(waiter, now);
      }
    }
    this.#schedule(now);
  }

  #answer(waiter: Waiter, now: number): void {
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
      const delayMs = Math.min(Math.ceil(dueMs - now), MAX_SLEEP_MS);
      this.#timer = setTimeout(() => this.#settle(), delayMs);
    }
  }
}
