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

interface PendingPoll {
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
  readonly #pendingPolls = new Set<PendingPoll>();
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
    for (const poll of [...this.#pendingPolls]) {
      this.#replyTo(poll, performance.now());
    }
    clearTimeout(this.#timer);
  }

  #wait(call: SyncCall, signal: AbortSignal): Promise<SyncResult> {
    return new Promise((resolve) => {
      const deadlineMs = performance.now() + call.waitMs;
      const poll = { call, deadlineMs, resolve };
      this.#pendingPolls.add(poll);
      signal.addEventListener("abort", () => this.#pendingPolls.delete(poll));
    });
  }

  /**
   * Replies to waiting calls whose deadline has passed or that have a change to
   * report, then reschedules the timer.
   */
  #processDueCalls(): void {
    const now = performance.now();
    this.#state.advance(now);
    for (const poll of [...this.#pendingPolls]) {
      if (
        poll.deadlineMs <= now ||
        this.#state.hasUnreportedChanges(poll.call)
      ) {
        this.#replyTo(poll, now);
      }
    }
    this.#schedule(now);
  }

  #replyTo(poll: PendingPoll, now: number): void {
    this.#pendingPolls.delete(poll);
    poll.resolve(this.#state.sync(poll.call, now));
  }

  #schedule(now: number): void {
    clearTimeout(this.#timer);
    let dueMs = this.#state.nextDue(now);
    for (const poll of this.#pendingPolls) {
      dueMs = Math.min(dueMs, poll.deadlineMs);
    }
    if (dueMs < Infinity && !this.#closed) {
      const delayMs = Math.min(Math.ceil(dueMs - now), MAX_TIMER_MS);
      this.#timer = setTimeout(() => this.#processDueCalls(), delayMs);
    }
  }
}
