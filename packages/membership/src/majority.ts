import type { Update } from "@mustardweir/kernel";
import { SCHEDULERS } from "./follower_plugin.ts";
import { PEERS } from "./peers.ts";

/**
 * The latest time since which more than half of the known schedulers, this
 * one included, have been heard from; -Infinity when too few ever were.
 */
export function majorityHeardAt(update: Update): number {
  const known = update.read(SCHEDULERS).peers.length + 1;
  const heardAt = [...update.read(PEERS).views.values()]
    .map((view) => view.heardAt)
    .sort((a, b) => b - a);
  const others = Math.floor(known / 2);
  return others === 0 ? update.now : heardAt[others - 1] ?? -Infinity;
}
