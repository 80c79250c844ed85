import { type Command, invariant, type Kernel } from "@mustardweir/kernel";
import type { EffectKind, NodeEffect } from "@mustardweir/protocol";
import type { EventSink, Performer } from "./performer.ts";

/** Events handled before other callbacks of the process get their turn. */
const EVENTS_PER_TURN = 256;

/** Longest sleep between looks at periodic work, in milliseconds. */
const MAX_SLEEP_MS = 1_000;

/** Where the loop gets its time. */
export abstract class Clock {
  /** Monotonic time in milliseconds. */
  abstract now(): number;
}

/** The monotonic clock of the process. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }
}

/** What an event loop connects. */
export interface EventLoopOptions {
  readonly kernel: Kernel;
  readonly performers: readonly Performer[];
  /** The system's monotonic clock by default. */
  readonly clock?: Clock;
}

type QueuedEvent = (now: number) => void;

/**
 * Feeds events to a kernel one at a time and hands its effects to performers.
 * Sleeps while there is nothing to do.
 *
 * @example
 * ```ts
 * const loop = new EventLoop({ kernel, performers: [new MetricsPerformer()] });
 * await loop.start();
 * loop.post(STOP_REQUESTED, {});
 * ```
 */
export class EventLoop implements EventSink {
  readonly #kernel: Kernel;
  readonly #performers: readonly Performer[];
  readonly #byKind = new Map<EffectKind, Performer>();
  readonly #clock: Clock;
  readonly #queue: QueuedEvent[] = [];
  #turn: NodeJS.Immediate | undefined;
  #timer: NodeJS.Timeout | undefined;
  #running = false;

  constructor(options: EventLoopOptions) {
    this.#kernel = options.kernel;
    this.#performers = options.performers;
    this.#clock = options.clock ?? new SystemClock();
    for (const performer of options.performers) {
      this.#registerKinds(performer);
    }
  }

  /** Starts the performers in their order, then the loop. */
  async start(): Promise<void> {
    for (const performer of this.#performers) {
      await performer.start(this);
    }
    this.#running = true;
    this.#schedule();
  }

  /** Stops the loop, then closes the performers. */
  async stop(): Promise<void> {
    this.#running = false;
    clearImmediate(this.#turn);
    clearTimeout(this.#timer);
    await Promise.all(this.#performers.map((performer) => performer.close()));
  }

  /** Queues an event; it is handled after those that are queued. */
  post<Payload>(command: Command<Payload>, payload: Payload): void {
    this.#queue.push((now) => {
      this.#perform(this.#kernel.run(command, payload, now));
    });
    this.#schedule();
  }

  #registerKinds(performer: Performer): void {
    for (const kind of performer.kinds) {
      invariant(!this.#byKind.has(kind), `effect ${kind} has two performers`);
      this.#byKind.set(kind, performer);
    }
  }

  #schedule(): void {
    if (this.#running && this.#turn === undefined) {
      this.#turn = setImmediate(() => this.#runTurn());
    }
  }

  #runTurn(): void {
    this.#turn = undefined;
    const events = this.#queue.splice(0, EVENTS_PER_TURN);
    for (const event of events) {
      event(this.#clock.now());
    }
    this.#perform(this.#kernel.advance(this.#clock.now()));
    if (this.#queue.length > 0) {
      this.#schedule();
    } else {
      this.#sleep();
    }
  }

  #sleep(): void {
    clearTimeout(this.#timer);
    const now = this.#clock.now();
    const delay = Math.min(this.#kernel.nextDue(now) - now, MAX_SLEEP_MS);
    // Timers cut fractions off; too early a wake finds nothing due.
    const wholeMs = Math.floor(Math.max(delay, 0)) + 1;
    this.#timer = setTimeout(() => this.#schedule(), wholeMs);
  }

  #perform(effects: readonly unknown[]): void {
    for (const effect of effects as readonly NodeEffect[]) {
      const performer = this.#byKind.get(effect.kind);
      invariant(performer !== undefined, `no performer for ${effect.kind}`);
      performer.perform(effect, this);
    }
  }
}
