import type { Command } from "./command.ts";
import type { Effect } from "./effect.ts";
import type { ServiceKey, StateKey } from "./keys.ts";
import type { Random } from "./random.ts";

/**
 * What a handler may do while an update runs. Not to be kept: after the
 * commit every call that changes something throws.
 */
export interface Update {
  /** Monotonic time in milliseconds, the same for the whole update. */
  readonly now: number;
  readonly random: Random;

  /** Reads state without marking it as changed. */
  read<State>(key: StateKey<State>): Readonly<State>;

  /** Gives state for changing and marks it as changed. */
  write<State>(key: StateKey<State>): State;

  /** The service under `key`. Throws when there is none. */
  service<Service>(key: ServiceKey<Service>): Service;

  /** Runs another command within this update. */
  dispatch<Payload>(command: Command<Payload>, payload: Payload): boolean;

  /** Asks for an effect to be performed after the commit. */
  emit(effect: Effect): void;
}

/** What listeners are shown after an update has been committed. */
export interface Commit {
  readonly now: number;
  readonly changed: ReadonlySet<StateKey<unknown>>;
  readonly effects: readonly Effect[];
}
