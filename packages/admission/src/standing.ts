import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import { alivePeers, PEERS } from "@mustardweir/membership";
import {
  addResources,
  dominantShare,
  NO_RESOURCES,
  type Resources,
} from "@mustardweir/model";
import {
  type CallerAnswer,
  CallerAnswerKind,
  type Heartbeat,
  type SliceSummary,
  type TeamStanding,
} from "@mustardweir/protocol";
import { ADMISSION } from "./admission_state.ts";

/** What each team uses, from the last heartbeats of the schedulers. */
export function teamStandings(update: Update): CallerAnswer {
  const { current } = update.read(CONFIGURATION);
  const heartbeats = alivePeers(update.read(PEERS), update.now)
    .map((view) => view.heartbeat);
  const slices = newestSlices(heartbeats);
  const totals = [...slices.values()].map((slice) => slice.total);
  const total = totals.reduce(addResources, NO_RESOURCES);
  const used = usageByTeam(heartbeats);
  const { teams } = current.rules;
  const shares = teams.reduce((sum, team) => sum + team.share, 0);
  return {
    kind: CallerAnswerKind.Teams,
    teams: teams.map(({ name, share }): TeamStanding => {
      const usage = used.get(name) ?? NO_RESOURCES;
      return {
        team: name,
        used: usage,
        dominantShare: dominantShare(usage, total),
        entitlement: share / shares,
      };
    }),
    configurationVersion: current.version,
    missingSlices: update.read(ADMISSION).fleet.sliceIds.filter((sliceId) =>
      !slices.has(sliceId)
    ),
  };
}

function newestSlices(
  heartbeats: readonly Heartbeat[],
): Map<string, SliceSummary> {
  const newest = new Map<string, SliceSummary>();
  for (const slice of heartbeats.flatMap((heartbeat) => heartbeat.slices)) {
    const known = newest.get(slice.sliceId);
    if (!known || slice.epoch > known.epoch) {
      newest.set(slice.sliceId, slice);
    }
  }
  return newest;
}

function usageByTeam(heartbeats: readonly Heartbeat[]): Map<string, Resources> {
  const usage = new Map<string, Resources>();
  for (const { team, used } of heartbeats.flatMap((h) => h.usage)) {
    usage.set(team, addResources(usage.get(team) ?? NO_RESOURCES, used));
  }
  return usage;
}
