import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import type { TeamDemand } from "@mustardweir/fairness";
import { PEERS } from "@mustardweir/membership";
import {
  addResources,
  type Configuration,
  instanceCapacity,
  NO_RESOURCES,
  type Resources,
  sliceFleet,
  type TeamRule,
  ZoneState,
} from "@mustardweir/model";
import type { Heartbeat } from "@mustardweir/protocol";
import { isUrgent, type QueuedAsk } from "./ask_queue.ts";
import { type Slice, SLICES, type TeamView } from "./slice_state.ts";

/**
 * Maximum age of a peer's report of usage, in milliseconds. Older reports are
 * left out: other nodes have taken over the peer's slices.
 */
const USAGE_MAX_AGE_MS = 4_000;

const usageIndexes = new WeakMap<
  Heartbeat,
  ReadonlyMap<string, Resources>
>();

const ruleIndexes = new WeakMap<
  Configuration["rules"],
  ReadonlyMap<string, TeamRule>
>();

const openTotals = new WeakMap<
  Configuration["zones"],
  {
    readonly inventory: Configuration["inventory"];
    readonly total: Resources;
  }
>();

const totals = new WeakMap<Configuration["inventory"], Resources>();

/** The total capacity of all instances of the fleet. */
export function fleetTotal(update: Update): Resources {
  const { inventory } = update.read(CONFIGURATION).current;
  const cached = totals.get(inventory);
  if (cached !== undefined) {
    return cached;
  }
  const total = sliceFleet(inventory)
    .flatMap((slice) => slice.instances)
    .map(({ spec }) => instanceCapacity(spec))
    .reduce(addResources, NO_RESOURCES);
  totals.set(inventory, total);
  return total;
}

/** The total capacity of the instances in open availability zones. */
export function openTotal(update: Update): Resources {
  const { zones, inventory } = update.read(CONFIGURATION).current;
  const cached = openTotals.get(zones);
  if (cached?.inventory === inventory) {
    return cached.total;
  }
  const total = sliceFleet(inventory)
    .filter((slice) => isOpen(zones, slice.availabilityZone))
    .flatMap((slice) => slice.instances)
    .map(({ spec }) => instanceCapacity(spec))
    .reduce(addResources, NO_RESOURCES);
  openTotals.set(zones, { inventory, total });
  return total;
}

function isOpen(zones: Configuration["zones"], zone: string): boolean {
  return (zones[zone] ?? ZoneState.Open) === ZoneState.Open;
}

/** The usage of one team, computed as in {@link usageByTeam}. */
export function usageOf(update: Update, team: string): Resources {
  let usage = NO_RESOURCES;
  for (const { heartbeat, receivedAt } of update.read(PEERS).views.values()) {
    const used = indexUsage(heartbeat).get(team);
    if (used !== undefined && update.now - receivedAt <= USAGE_MAX_AGE_MS) {
      usage = addResources(usage, used);
    }
  }
  for (const { teams } of update.read(SLICES).slices.values()) {
    const used = teams.get(team)?.used;
    usage = used === undefined ? usage : addResources(usage, used);
  }
  return usage;
}

function indexUsage(heartbeat: Heartbeat): ReadonlyMap<string, Resources> {
  const cached = usageIndexes.get(heartbeat);
  if (cached !== undefined) {
    return cached;
  }
  const index = new Map<string, Resources>();
  for (const { team, used } of heartbeat.usage) {
    index.set(team, addResources(index.get(team) ?? NO_RESOURCES, used));
  }
  usageIndexes.set(heartbeat, index);
  return index;
}

/**
 * The usage of each team in the whole fleet: current for the slices of this
 * node, as of the latest heartbeat for those of other nodes.
 */
export function usageByTeam(update: Update): Map<string, Resources> {
  const usage = new Map<string, Resources>();
  const add = (team: string, used: Resources) =>
    usage.set(team, addResources(usage.get(team) ?? NO_RESOURCES, used));
  for (const { heartbeat, receivedAt } of update.read(PEERS).views.values()) {
    if (update.now - receivedAt > USAGE_MAX_AGE_MS) {
      continue; // Other nodes have taken over its slices.
    }
    heartbeat.usage.forEach(({ team, used }) => add(team, used));
  }
  for (const slice of update.read(SLICES).slices.values()) {
    slice.teams.forEach(({ team, used }) => add(team, used));
  }
  return usage;
}

export interface DescribeDemandOptions {
  readonly view: TeamView;
  readonly next: QueuedAsk;
  readonly used: Resources;
}

/** Describes a team and its next ask to the policy of the queue order. */
export function describeDemand(
  update: Update,
  { view, next, used }: DescribeDemandOptions,
): TeamDemand {
  const rule = rulesByTeam(update).get(view.team);
  return {
    team: view.team,
    weight: rule?.share ?? 0,
    used,
    urgent: isUrgent(next),
    oldestWaitMs: update.now - next.receivedAt,
    size: next.ask.task.size,
  };
}

/** The rules by team; the index is rebuilt when the rules are edited. */
function rulesByTeam(update: Update): ReadonlyMap<string, TeamRule> {
  const { rules } = update.read(CONFIGURATION).current;
  const cached = ruleIndexes.get(rules);
  if (cached !== undefined) {
    return cached;
  }
  const index = new Map(rules.teams.map((rule) => [rule.name, rule]));
  ruleIndexes.set(rules, index);
  return index;
}

/** The number of asks that wait for room in a slice. */
export function countWaiting(slice: Slice): number {
  let waiting = 0;
  for (const view of slice.teams.values()) {
    waiting += view.queue.size;
  }
  return waiting;
}
