import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import { entitlements, type TeamClaim } from "@mustardweir/fairness";
import { latestHeartbeats } from "@mustardweir/membership";
import {
  addResources,
  type Ceiling,
  NO_RESOURCES,
  type Resources,
  scaleResources,
} from "@mustardweir/model";
import { openTotal, usageByTeam } from "./demand.ts";
import { SLICES, type TeamDues } from "./slice_state.ts";

/** How long the parts that teams are due are used, in milliseconds. */
const DUES_MS = 500;

/** What each team is due of the open zones, as a dominant share. */
export function duesByTeam(update: Update): ReadonlyMap<string, number> {
  const { dues } = update.read(SLICES);
  if (dues !== undefined && update.now - dues.computedAt < DUES_MS) {
    return dues.byTeam;
  }
  const computed = computeDues(update);
  update.write(SLICES).dues = computed;
  return computed.byTeam;
}

function computeDues(update: Update): TeamDues {
  const { rules } = update.read(CONFIGURATION).current;
  const usage = usageByTeam(update);
  const waiting = waitingByTeam(update);
  const claims = rules.teams.map(({ name, share, ceiling }): TeamClaim => {
    const used = usage.get(name) ?? NO_RESOURCES;
    const wanted = addResources(used, waiting.get(name) ?? NO_RESOURCES);
    return { team: name, weight: share, wanted: cap(wanted, ceiling) };
  }).filter(({ wanted }) => wanted.slots > 0);
  const given = entitlements(claims, openTotal(update));
  return {
    computedAt: update.now,
    byTeam: new Map(given.map(({ team, share }) => [team, share])),
  };
}

/**
 * What waits in homes and in the slices of this node. Homes tell how many
 * tasks wait; they are taken to be like those that are known.
 */
function waitingByTeam(update: Update): Map<string, Resources> {
  const usage = usageByTeam(update);
  const waiting = new Map<string, Resources>();
  for (const { heartbeat } of latestHeartbeats(update)) {
    for (const { team, waiting: tasks = 0 } of heartbeat.usage) {
      if (tasks > 0) {
        const size = typicalSize(update, team, usage);
        addTo(waiting, team, scaleResources(size, tasks));
      }
    }
  }
  for (const slice of update.read(SLICES).slices.values()) {
    for (const { team, queue } of slice.teams.values()) {
      for (const { ask } of queue.values()) {
        addTo(waiting, team, ask.task.size);
      }
    }
  }
  return waiting;
}

function typicalSize(
  update: Update,
  team: string,
  usage: ReadonlyMap<string, Resources>,
): Resources {
  for (const slice of update.read(SLICES).slices.values()) {
    const [queued] = slice.teams.get(team)?.queue.values() ?? [];
    if (queued !== undefined) {
      return queued.ask.task.size;
    }
  }
  const used = usage.get(team) ?? NO_RESOURCES;
  return used.slots > 0 ? scaleResources(used, 1 / used.slots) : NO_RESOURCES;
}

function addTo(
  sums: Map<string, Resources>,
  team: string,
  amount: Resources,
): void {
  sums.set(team, addResources(sums.get(team) ?? NO_RESOURCES, amount));
}

/** As much of `wanted` as the ceiling allows. */
function cap(wanted: Resources, ceiling: Ceiling): Resources {
  const part = Math.min(
    1,
    partOf((ceiling.cpu ?? Infinity) * 1000, wanted.cpuMillis),
    partOf(ceiling.memoryMb ?? Infinity, wanted.memoryMb),
    partOf(ceiling.accelerators ?? Infinity, wanted.accelerators),
    partOf(ceiling.tasks ?? Infinity, wanted.slots),
  );
  return scaleResources(wanted, part);
}

function partOf(limit: number, wanted: number): number {
  return wanted > 0 ? limit / wanted : Infinity;
}
