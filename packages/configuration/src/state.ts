import { createCommand, createStateKey } from "@mustardweir/kernel";
import type { Configuration } from "@mustardweir/model";
import type { RetiredInstance } from "./retired.ts";

/**
 * A node that can't confirm its configuration for this long starts nothing
 * that depends on it, in milliseconds. With the time to read the new version
 * it stays below the 4 s within which a change is in force.
 */
export const CONFIRMATION_MS = 3_000;

/** The configuration in force on a node, and how fresh it is. */
export interface ConfigurationState {
  current: Configuration;
  /** Instances that left the inventory lately; none by default. */
  retired?: readonly RetiredInstance[];
  /**
   * When the read began that last showed `current` to be the newest version;
   * -Infinity before the first.
   */
  confirmedAt: number;
}

/** State key of the configuration in force. */
export const CONFIGURATION = createStateKey<ConfigurationState>(
  "configuration",
);

/** Dispatched in the update that puts a newer configuration in force. */
export const CONFIGURATION_CHANGED = createCommand<{
  readonly previous: Configuration;
  readonly current: Configuration;
}>("configuration-changed");

/**
 * True while the configuration is known to be in force.
 *
 * @example
 * ```ts
 * if (!isConfirmed(update.read(CONFIGURATION), update.now)) return;
 * ```
 */
export function isConfirmed(
  state: Readonly<ConfigurationState>,
  now: number,
): boolean {
  return now - state.confirmedAt <= CONFIRMATION_MS;
}
