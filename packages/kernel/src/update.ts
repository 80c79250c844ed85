import type { Command } from "./command.ts";
import type { Effect } from "./effect.ts";
import type { ServiceKey, StateKey } from "./keys.ts";
import type { Random } from "./random.ts";

/**
 * What a handler can do while an update runs. Must not be used later: after
 * the commit every call that changes something throws.
 */
export interface Update {
  /** Monotonic time in milliseconds, the same for the whole update. */
  readonly now: number;
  readonly random: Random;

  /** Reads state without marking it as changed. */
  read<State>(key: StateKey<State>): Readonly<State>;

  /** Returns state that may be modified and marks it as changed. */
  write<State>(key: StateKey<State>): State;

  /** Returns the service under `key`. Throws when there is none. */
  service<Service>(key: ServiceKey<Service>): Service;

  /**
   * Runs another command within this update. Returns true if a handler
   * returned true.
   */
  dispatch<Payload>(command: Command<Payload>, payload: Payload): boolean;

  /** Requests an effect, which is performed after the commit. */
  emit(effect: Effect): void;
}

/** A committed update, as passed to listeners. */
export interface Commit {
  readonly now: number;
  readonly changed: ReadonlySet<StateKey<unknown>>;
  readonly effects: readonly Effect[];
}
