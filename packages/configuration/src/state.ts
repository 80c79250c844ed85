import { createCommand, createStateKey } from "@mustardweir/kernel";
import type { Configuration } from "@mustardweir/model";
import type { RetiredInstance } from "./retired.ts";

/**
 * Time for which a confirmation of the configuration is valid, in milliseconds.
 * Afterwards the node starts nothing that depends on it. With the time to read
 * a new version this stays below the 4 s within which a change is in force.
 */
export const CONFIRMATION_MS = 3_000;

/** The configuration in force on a node, and when it was last confirmed. */
export interface ConfigurationState {
  current: Configuration;
  /** Instances recently removed from the inventory; none by default. */
  retired?: readonly RetiredInstance[];
  /**
   * Start of the last read that confirmed `current` as the newest version;
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
 * Returns whether the configuration was confirmed recently enough to be used.
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
