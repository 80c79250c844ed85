import { type Command, invariant, type Kernel } from "@mustardweir/kernel";
import {
  type EffectKind,
  type NodeEffect,
  PROCESS_SUSPENDED,
} from "@mustardweir/protocol";
import { EventMeter, PERIODIC_KIND, TURN_KIND } from "./event_meter.ts";
import { Metrics } from "./metrics.ts";
import type { EventSink, Performer } from "./performer.ts";
import { SuspensionMeter } from "./suspension.ts";

/** Maximum number of events handled before other callbacks may run. */
const EVENTS_PER_TURN = 256;

/** Maximum time between checks for periodic work, in milliseconds. */
const MAX_SLEEP_MS = 1_000;

/** The source of the loop's time. */
export abstract class Clock {
  /** Returns the monotonic time in milliseconds. */
  abstract now(): number;

  /** Returns the time of day in Unix milliseconds. */
  timeOfDay(): number {
    return Date.now();
  }
}

/** The monotonic clock of the process. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }
}

/** The kernel, performers and clock of an event loop. */
export interface EventLoopOptions {
  readonly kernel: Kernel;
  readonly performers: readonly Performer[];
  /** The system's monotonic clock by default. */
  readonly clock?: Clock;
  /** Counts the time of events by kind; new by default. */
  readonly metrics?: Metrics;
}

/** Options of a stop. */
export interface StopOptions {
  /** Time for events that can still arrive, in milliseconds; 0 by default. */
  readonly drainMs?: number;
}

interface QueuedEvent {
  /** Name of its command. */
  readonly kind: string;
  readonly run: (now: number) => void;
}

/**
 * Runs a kernel's commands one event at a time and passes its effects to the
 * performers. Waits on a timer, without polling, while no event is queued.
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
  readonly #performersByKind = new Map<EffectKind, Performer>();
  readonly #clock: Clock;
  readonly #queue: QueuedEvent[] = [];
  readonly #suspensions = new SuspensionMeter();
  readonly #meter: EventMeter;
  #nextTurn: NodeJS.Immediate | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** Number of events that come before the next periodic work. */
  #backlog = 0;
  #isRunning = false;

  constructor(options: EventLoopOptions) {
    this.#kernel = options.kernel;
    this.#performers = options.performers;
    this.#clock = options.clock ?? new SystemClock();
    this.#meter = new EventMeter(options.metrics ?? new Metrics());
    for (const performer of options.performers) {
      this.#registerKinds(performer);
    }
  }

  /** Starts the performers in their order, then the loop. */
  async start(): Promise<void> {
    for (const performer of this.#performers) {
      await performer.start(this);
    }
    this.#isRunning = true;
    this.#schedule();
  }

  /**
   * Drains the performers within `drainMs` milliseconds, 0 by default; then
   * stops the loop and closes them.
   */
  async stop({ drainMs = 0 }: StopOptions = {}): Promise<void> {
    await Promise.all(
      this.#performers.map((performer) => performer.drain(drainMs)),
    );
    this.#isRunning = false;
    clearImmediate(this.#nextTurn);
    clearTimeout(this.#timer);
    await Promise.all(this.#performers.map((performer) => performer.close()));
  }

  /** Adds an event to the end of the queue. */
  post<Payload>(command: Command<Payload>, payload: Payload): void {
    this.#queue.push({
      kind: command.name,
      run: (now) => this.#perform(this.#kernel.run(command, payload, now)),
    });
    this.#schedule();
  }

  #registerKinds(performer: Performer): void {
    for (const kind of performer.kinds) {
      invariant(
        !this.#performersByKind.has(kind),
        `effect ${kind} has two performers`,
      );
      this.#performersByKind.set(kind, performer);
    }
  }

  #schedule(): void {
    if (this.#isRunning && this.#nextTurn === undefined) {
      this.#nextTurn = setImmediate(() => this.#runTurn());
    }
  }

  #runTurn(): void {
    this.#nextTurn = undefined;
    const startMs = this.#clock.now();
    this.#tellSuspension(startMs);
    // Events that arrived during a pause may meet deadlines that it passed.
    this.#backlog ||= this.#queue.length;
    const events = this.#queue.splice(0, EVENTS_PER_TURN);
    let now = events.length > 0 ? this.#clock.now() : startMs;
    for (const { kind, run } of events) {
      run(now);
      now = this.#noteEvent(kind, now);
    }
    this.#backlog = Math.max(0, this.#backlog - events.length);
    if (this.#backlog === 0) {
      this.#perform(this.#kernel.advance(now));
      now = this.#noteEvent(PERIODIC_KIND, now);
    }
    this.#meter.note(TURN_KIND, now - startMs);
    if (this.#queue.length > 0) {
      this.#schedule();
    } else {
      this.#sleep(now);
    }
  }

  /** Notes an event that has just ended, and returns the current time. */
  #noteEvent(kind: string, startMs: number): number {
    const now = this.#clock.now();
    this.#meter.note(kind, now - startMs);
    return now;
  }

  /** Permissions that ran out meanwhile must not be used by the next events. */
  #tellSuspension(now: number): void {
    const forMs = this.#suspensions.measure({
      steadyMs: now,
      unixMs: this.#clock.timeOfDay(),
    });
    if (forMs > 0) {
      this.#perform(this.#kernel.run(PROCESS_SUSPENDED, { forMs }, now));
    }
  }

  #sleep(now: number): void {
    clearTimeout(this.#timer);
    const delay = Math.min(this.#kernel.nextDue(now) - now, MAX_SLEEP_MS);
    // Timers truncate fractions; a timer that fires early finds nothing due.
    const wholeMs = Math.floor(Math.max(delay, 0)) + 1;
    this.#timer = setTimeout(() => this.#schedule(), wholeMs);
  }

  #perform(effects: readonly unknown[]): void {
    for (const effect of effects as readonly NodeEffect[]) {
      const performer = this.#performersByKind.get(effect.kind);
      invariant(performer !== undefined, `no performer for ${effect.kind}`);
      performer.perform(effect, this);
    }
  }
}
