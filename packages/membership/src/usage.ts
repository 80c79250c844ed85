import { addResources } from "@mustardweir/model";
import type { TeamUsage } from "@mustardweir/protocol";

/**
 * Merges the usage that several plug-ins report for the same team. Parts
 * without usage and without waiting work are left out.
 *
 * @example
 * ```ts
 * const usage = mergeUsage([...ofSlices, ...ofHomes]);
 * ```
 */
export function mergeUsage(parts: readonly TeamUsage[]): TeamUsage[] {
  const byTeam = new Map<string, TeamUsage>();
  for (const part of parts.filter(hasUsageOrDemand)) {
    const known = byTeam.get(part.team);
    byTeam.set(part.team, known === undefined ? part : merge(known, part));
  }
  return [...byTeam.values()];
}

function hasUsageOrDemand({ used, waiting = 0 }: TeamUsage): boolean {
  return waiting > 0 || used.cpuMillis > 0 || used.memoryMb > 0 ||
    used.accelerators > 0 || used.slots > 0;
}

function merge(a: TeamUsage, b: TeamUsage): TeamUsage {
  return {
    team: a.team,
    used: addResources(a.used, b.used),
    waiting: (a.waiting ?? 0) + (b.waiting ?? 0),
  };
}
