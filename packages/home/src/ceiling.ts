import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import {
  addResources,
  type Ceiling,
  type Resources,
  type TeamRule,
} from "@mustardweir/model";
import type { Home } from "./home_state.ts";

/** Returns the rule of a team; undefined if it no longer has one. */
export function findRule(update: Update, team: string): TeamRule | undefined {
  const { rules } = update.read(CONFIGURATION).current;
  return rules.teams.find((rule) => rule.name === team);
}

/** True if a task of `size` may start without exceeding the ceiling. */
export function isBelowCeiling(
  home: Home,
  size: Resources,
  ceiling: Ceiling,
): boolean {
  return isWithinCeiling(addResources(home.used, size), ceiling);
}

/** True if the resources `after` are within the ceiling. */
export function isWithinCeiling(after: Resources, ceiling: Ceiling): boolean {
  return after.cpuMillis <= (ceiling.cpu ?? Infinity) * 1000 &&
    after.memoryMb <= (ceiling.memoryMb ?? Infinity) &&
    after.accelerators <= (ceiling.accelerators ?? Infinity) &&
    after.slots <= (ceiling.tasks ?? Infinity);
}
