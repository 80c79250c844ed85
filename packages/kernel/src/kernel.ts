import type { Command, CommandPriority } from "./command.ts";
import type { Effect } from "./effect.ts";
import { invariant } from "./invariant.ts";
import type { ServiceKey, StateKey } from "./keys.ts";
import { mergeUndo, type Plugin, type Undo } from "./plugin.ts";
import { Random } from "./random.ts";
import type { Commit, Update } from "./update.ts";

/** Handles a command; returns true to skip handlers of lower priority. */
export type CommandHandler<Payload> = (
  payload: Payload,
  update: Update,
) => boolean | void;

/** Called after each update, when its changes have been committed. */
export type CommitListener = (commit: Commit) => void;

/** Work that is run every `intervalMs` milliseconds. */
export interface PeriodicOptions {
  readonly intervalMs: number;
  /** Delay before the first run, in milliseconds; 0 by default. */
  readonly firstDelayMs?: number;
  readonly run: (update: Update) => void;
  /**
   * Returns whether there is nothing to do soon: the work is then next due after
   * `idleIntervalMs`. Asked after each run; never idle by default.
   */
  readonly isIdle?: (update: Update) => boolean;
  /** Interval while idle, in milliseconds; `intervalMs` by default. */
  readonly idleIntervalMs?: number;
}

/** The plug-ins and the random seed of a kernel. */
export interface KernelOptions {
  readonly plugins?: readonly Plugin[];
  /** Seed of the kernel's random number generator; 1 by default. */
  readonly seed?: number;
  /**
   * Called with what a handler or periodic work throws; the effects requested
   * until then are kept, since the state may have changed with them. Without it
   * the error is thrown to the caller.
   */
  readonly onError?: (error: unknown) => void;
}

interface HandlerEntry {
  readonly priority: CommandPriority;
  readonly handler: CommandHandler<never>;
}

interface PeriodicEntry {
  readonly options: PeriodicOptions;
  due: number;
}

/**
 * Holds state and runs commands on it, one update at a time. An update runs
 * to completion without waiting; the side effects that it requests are
 * returned as effects. The kernel reads no clock: callers pass the time.
 *
 * @example
 * ```ts
 * const kernel = new Kernel({ plugins: createPlugins(Role.Scheduler) });
 * const effects = kernel.run(JOB_SUBMITTED, { jobId: "a" }, nowMs);
 * ```
 */
export class Kernel {
  readonly #handlers = new Map<Command<never>, HandlerEntry[]>();
  readonly #states = new Map<StateKey<unknown>, unknown>();
  readonly #services = new Map<ServiceKey<unknown>, unknown>();
  readonly #listeners = new Set<CommitListener>();
  readonly #periodic = new Set<PeriodicEntry>();
  readonly #random: Random;
  readonly #onError: ((error: unknown) => void) | undefined;
  readonly #undoPlugins: Undo;
  #active: ActiveUpdate | undefined;

  constructor(options: KernelOptions = {}) {
    this.#random = new Random(options.seed ?? 1);
    this.#onError = options.onError;
    const plugins = options.plugins ?? [];
    this.#undoPlugins = mergeUndo(
      ...plugins.map((plugin) => plugin.register(this)),
    );
  }

  /** Removes everything that the plug-ins registered. */
  dispose(): void {
    this.#undoPlugins();
  }

  /**
   * Adds a handler of `command`; handlers of the same priority run in the
   * order in which they were added.
   */
  registerCommand<Payload>(
    command: Command<Payload>,
    handler: CommandHandler<Payload>,
    priority: CommandPriority,
  ): Undo {
    const key = command as Command<never>;
    const entry: HandlerEntry = { priority, handler };
    const entries = [...this.#handlers.get(key) ?? [], entry];
    entries.sort((a, b) => b.priority - a.priority);
    this.#handlers.set(key, entries);
    return () => {
      const rest = this.#handlers.get(key)?.filter((e) => e !== entry) ?? [];
      this.#handlers.set(key, rest);
    };
  }

  /** Adds state with its initial value. Throws when the key is in use. */
  registerState<State>(key: StateKey<State>, initial: State): Undo {
    invariant(!this.#states.has(key), `state ${key.name} is registered twice`);
    this.#states.set(key, initial);
    return () => {
      this.#states.delete(key);
    };
  }

  /** Adds a service. Throws when the key is in use. */
  registerService<Service>(key: ServiceKey<Service>, service: Service): Undo {
    invariant(
      !this.#services.has(key),
      `service ${key.name} is registered twice`,
    );
    this.#services.set(key, service);
    return () => {
      this.#services.delete(key);
    };
  }

  /** Adds a listener that is called after each commit. */
  registerListener(listener: CommitListener): Undo {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Adds work that {@link advance} runs when it is due. */
  registerPeriodic(options: PeriodicOptions): Undo {
    invariant(options.intervalMs > 0, "periodic interval must be positive");
    const entry: PeriodicEntry = { options, due: -Infinity };
    this.#periodic.add(entry);
    return () => {
      this.#periodic.delete(entry);
    };
  }

  /** Returns the state under `key`. Throws when there is none. */
  read<State>(key: StateKey<State>): Readonly<State> {
    invariant(this.#states.has(key), `state ${key.name} is not registered`);
    return this.#states.get(key) as State;
  }

  /** Returns the service under `key`. Throws when there is none. */
  service<Service>(key: ServiceKey<Service>): Service {
    invariant(
      this.#services.has(key),
      `service ${key.name} is not registered`,
    );
    return this.#services.get(key) as Service;
  }

  /** Runs `command` as one update and returns the effects it requested. */
  run<Payload>(
    command: Command<Payload>,
    payload: Payload,
    now: number,
  ): readonly Effect[] {
    return this.update(now, (update) => {
      update.dispatch(command, payload);
    });
  }

  /** Runs `change` as one update, commits it and calls the listeners. */
  update(now: number, change: (update: Update) => void): readonly Effect[] {
    invariant(this.#active === undefined, "updates can't be nested");
    const active = new ActiveUpdate(this, now, this.#random);
    this.#active = active;
    try {
      this.#guard(() => change(active));
    } finally {
      this.#active = undefined;
      active.close();
    }
    for (const listener of this.#listeners) {
      listener(active);
    }
    return active.effects;
  }

  /** Runs the periodic work that is due at `now`, as one update. */
  advance(now: number): readonly Effect[] {
    const due = [...this.#periodic].filter((entry) => this.#isDue(entry, now));
    if (due.length === 0) {
      return [];
    }
    return this.update(now, (update) => {
      for (const entry of due) {
        const { intervalMs, idleIntervalMs = intervalMs, isIdle, run } =
          entry.options;
        // Set first, so that work that throws isn't due again at once.
        entry.due = nextMultiple(now, intervalMs);
        this.#guard(() => run(update));
        if (isIdle?.(update) === true) {
          entry.due = nextMultiple(now, idleIntervalMs);
        }
      }
    });
  }

  /** Returns the time at which work is next due, on the clock of `now`. */
  nextDue(now: number): number {
    let next = Infinity;
    for (const entry of this.#periodic) {
      next = Math.min(next, this.#dueTime(entry, now));
    }
    return next;
  }

  /** @internal Runs the handlers of `command` in order of priority. */
  handle<Payload>(
    command: Command<Payload>,
    payload: Payload,
    update: Update,
  ): boolean {
    const entries = this.#handlers.get(command as Command<never>) ?? [];
    for (const entry of entries) {
      const handler = entry.handler as CommandHandler<unknown>;
      if (handler(payload, update) === true) {
        return true;
      }
    }
    return false;
  }

  #guard(run: () => void): void {
    const onError = this.#onError;
    if (onError === undefined) {
      run();
      return;
    }
    try {
      run();
    } catch (error) {
      onError(error);
    }
  }

  #isDue(entry: PeriodicEntry, now: number): boolean {
    return this.#dueTime(entry, now) <= now;
  }

  #dueTime(entry: PeriodicEntry, now: number): number {
    if (entry.due === -Infinity) {
      entry.due = now + (entry.options.firstDelayMs ?? 0);
    }
    return entry.due;
  }
}

class ActiveUpdate implements Update, Commit {
  readonly effects: Effect[] = [];
  readonly changed = new Set<StateKey<unknown>>();
  readonly now: number;
  readonly random: Random;
  readonly #kernel: Kernel;
  #open = true;

  constructor(kernel: Kernel, now: number, random: Random) {
    this.#kernel = kernel;
    this.now = now;
    this.random = random;
  }

  read<State>(key: StateKey<State>): Readonly<State> {
    return this.#kernel.read(key);
  }

  write<State>(key: StateKey<State>): State {
    invariant(this.#open, `state ${key.name} was changed outside an update`);
    this.changed.add(key);
    return this.#kernel.read(key) as State;
  }

  service<Service>(key: ServiceKey<Service>): Service {
    return this.#kernel.service(key);
  }

  dispatch<Payload>(command: Command<Payload>, payload: Payload): boolean {
    invariant(this.#open, `command ${command.name} was run after the commit`);
    return this.#kernel.handle(command, payload, this);
  }

  emit(effect: Effect): void {
    invariant(this.#open, `effect ${effect.kind} was emitted after the commit`);
    this.effects.push(effect);
  }

  close(): void {
    this.#open = false;
  }
}

/**
 * Returns the next time that is a multiple of `intervalMs`. This aligns the
 * work of all plug-ins, so that an idle process wakes less often.
 */
function nextMultiple(now: number, intervalMs: number): number {
  return (Math.floor(now / intervalMs) + 1) * intervalMs;
}
