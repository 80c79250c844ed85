import { addResources } from "@mustardweir/model";
import type { TeamUsage } from "@mustardweir/protocol";

/**
 * Joins what several plug-ins say of the same team and leaves out teams that
 * use and want nothing.
 *
 * @example
 * ```ts
 * const usage = joinUsage([...ofSlices, ...ofHomes]);
 * ```
 */
export function joinUsage(parts: readonly TeamUsage[]): TeamUsage[] {
  const byTeam = new Map<string, TeamUsage>();
  for (const part of parts.filter(isOfUse)) {
    const known = byTeam.get(part.team);
    byTeam.set(part.team, known === undefined ? part : join(known, part));
  }
  return [...byTeam.values()];
}

function isOfUse({ used, waiting = 0 }: TeamUsage): boolean {
  return waiting > 0 || used.cpuMillis > 0 || used.memoryMb > 0 ||
    used.accelerators > 0 || used.slots > 0;
}

function join(a: TeamUsage, b: TeamUsage): TeamUsage {
  return {
    team: a.team,
    used: addResources(a.used, b.used),
    waiting: (a.waiting ?? 0) + (b.waiting ?? 0),
  };
}
