import type { Random } from "@mustardweir/kernel";
import {
  type SyncCall,
  type SyncResult,
  SyncResultKind,
} from "@mustardweir/protocol";
import {
  hasCommands,
  type TaskEnded,
  type TaskStarted,
  type WorkerListener,
  type WorkerState,
} from "@mustardweir/worker";
import { LocalClock } from "./local_clock.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** Added to each wake-up, so that rounding makes none early, in ms. */
const WAKE_MARGIN_MS = 0.01;

/** Options of a worker host. */
export interface WorkerHostOptions {
  readonly instanceId: string;
  readonly state: WorkerState;
  readonly clock: VirtualClock;
  readonly random: Random;
  /** Notified of starts and ends in virtual time. */
  readonly listener: RunListener;
}

/** A task has started on an instance. */
export interface RunStarted extends TaskStarted {
  readonly instanceId: string;
}

/** A task has ended on an instance. */
export interface RunEnded extends TaskEnded {
  readonly instanceId: string;
}

/** Notified of the runs of tasks on workers, in virtual time. */
export abstract class RunListener {
  abstract started(event: RunStarted): void;
  abstract ended(event: RunEnded): void;
}

/** A sync call that waits for a change of the worker or for its timeout. */
interface PendingPoll {
  readonly call: SyncCall;
  readonly respond: (result: SyncResult) => void;
  hasResponse: boolean;
}

/** Runs a worker in virtual time, with the long polling of the real one. */
export class WorkerHost implements WorkerListener {
  readonly instanceId: string;
  readonly state: WorkerState;
  readonly #clock: VirtualClock;
  readonly #localClock: LocalClock;
  readonly #listener: RunListener;
  #pendingPolls: PendingPoll[] = [];
  #wakeAt = Infinity;

  constructor(options: WorkerHostOptions) {
    this.instanceId = options.instanceId;
    this.state = options.state;
    this.#clock = options.clock;
    this.#localClock = new LocalClock(options.clock, options.random);
    this.#listener = options.listener;
    this.state.registerListener(this);
  }

  sync(call: SyncCall, respond: (result: SyncResult) => void): void {
    const result = this.state.sync(call, this.#localClock.now());
    const waits = call.waitMs > 0 && !hasCommands(call) &&
      result.kind === SyncResultKind.Synced &&
      !this.state.hasUnreportedChanges(call);
    if (waits) {
      this.#wait({ call, respond, hasResponse: false });
    } else {
      respond(result);
    }
    this.#update();
  }

  restart(): void {
    this.state.restart(this.#localClock.now());
    this.#update();
  }

  taskStarted(event: TaskStarted): void {
    const { instanceId } = this;
    this.#listener.started({
      ...startFields(event),
      instanceId,
      startedMs: this.#localClock.toVirtual(event.startedMs),
    });
  }

  taskEnded(event: TaskEnded): void {
    const { instanceId } = this;
    this.#listener.ended({
      ...startFields(event),
      instanceId,
      end: event.end,
      startedMs: this.#localClock.toVirtual(event.startedMs),
      endedMs: this.#localClock.toVirtual(event.endedMs),
    });
  }

  #wait(poll: PendingPoll): void {
    this.#pendingPolls.push(poll);
    const { waitMs } = poll.call;
    this.#clock.after(this.#localClock.toVirtualDuration(waitMs), () => {
      this.#respond(poll);
    });
  }

  #respond(poll: PendingPoll): void {
    if (poll.hasResponse) {
      return;
    }
    poll.hasResponse = true;
    this.#pendingPolls = this.#pendingPolls.filter((other) => other !== poll);
    poll.respond(this.state.sync(poll.call, this.#localClock.now()));
  }

  #update(): void {
    this.state.advance(this.#localClock.now());
    for (const poll of [...this.#pendingPolls]) {
      if (this.state.hasUnreportedChanges(poll.call)) {
        this.#respond(poll);
      }
    }
    this.#schedule();
  }

  #schedule(): void {
    const due = this.state.nextDue(this.#localClock.now());
    if (due === Infinity) {
      return;
    }
    const at = this.#localClock.toVirtual(due) + WAKE_MARGIN_MS;
    if (at >= this.#wakeAt && this.#wakeAt > this.#clock.now) {
      return;
    }
    this.#wakeAt = at;
    this.#clock.after(at - this.#clock.now, () => {
      if (this.#wakeAt === at) {
        this.#wakeAt = Infinity;
        this.#update();
      }
    });
  }
}

function startFields({ sliceId, task, startedMs }: TaskStarted): TaskStarted {
  return { sliceId, task, startedMs };
}
