import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import { type EntitlementInput, entitlements } from "@mustardweir/fairness";
import { latestHeartbeats } from "@mustardweir/membership";
import {
  addResources,
  type Ceiling,
  NO_RESOURCES,
  type Resources,
  scaleResources,
} from "@mustardweir/model";
import { openTotal, usageByTeam } from "./demand.ts";
import { type EntitledShares, SLICES } from "./slice_state.ts";

/** Time for which computed entitlements are reused, in milliseconds. */
const SHARES_MAX_AGE_MS = 500;

/** The entitlement of each team in the open zones, as a dominant share. */
export function entitledShareByTeam(
  update: Update,
): ReadonlyMap<string, number> {
  const { entitledShares } = update.read(SLICES);
  if (
    entitledShares !== undefined &&
    update.now - entitledShares.computedAt < SHARES_MAX_AGE_MS
  ) {
    return entitledShares.byTeam;
  }
  const computed = computeEntitledShares(update);
  update.write(SLICES).entitledShares = computed;
  return computed.byTeam;
}

function computeEntitledShares(update: Update): EntitledShares {
  const { rules } = update.read(CONFIGURATION).current;
  const usage = usageByTeam(update);
  const waiting = waitingByTeam(update);
  const inputs = rules.teams.map(
    ({ name, share, ceiling }): EntitlementInput => {
      const used = usage.get(name) ?? NO_RESOURCES;
      const wanted = addResources(used, waiting.get(name) ?? NO_RESOURCES);
      return { team: name, weight: share, wanted: cap(wanted, ceiling) };
    },
  ).filter(({ wanted }) => wanted.slots > 0);
  const given = entitlements(inputs, openTotal(update));
  return {
    computedAt: update.now,
    byTeam: new Map(given.map(({ team, share }) => [team, share])),
  };
}

/**
 * The resources that waiting tasks need, in homes and in the slices of this
 * node. Homes report only the number of waiting tasks; each is assumed to have
 * the team's typical size.
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

/**
 * The size of a queued task of the team, else the average size of its running
 * tasks; zero when this node has neither.
 */
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

/** Scales `wanted` down until it is within the ceiling. */
function cap(wanted: Resources, ceiling: Ceiling): Resources {
  const fraction = Math.min(
    1,
    fractionOf((ceiling.cpu ?? Infinity) * 1000, wanted.cpuMillis),
    fractionOf(ceiling.memoryMb ?? Infinity, wanted.memoryMb),
    fractionOf(ceiling.accelerators ?? Infinity, wanted.accelerators),
    fractionOf(ceiling.tasks ?? Infinity, wanted.slots),
  );
  return scaleResources(wanted, fraction);
}

function fractionOf(limit: number, wanted: number): number {
  return wanted > 0 ? limit / wanted : Infinity;
}
