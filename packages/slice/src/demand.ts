import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import type { TeamDemand } from "@mustardweir/fairness";
import { PEERS } from "@mustardweir/membership";
import {
  addResources,
  type Configuration,
  instanceCapacity,
  NO_RESOURCES,
  Priority,
  type Resources,
  sliceFleet,
  ZoneState,
} from "@mustardweir/model";
import {
  type QueuedAsk,
  type Slice,
  SLICES,
  type TeamView,
} from "./slice_state.ts";

/** How long the usage that a peer told of counts, in milliseconds. */
const USAGE_MS = 4_000;

const openTotals = new WeakMap<
  Configuration["zones"],
  {
    readonly inventory: Configuration["inventory"];
    readonly total: Resources;
  }
>();

const totals = new WeakMap<Configuration["inventory"], Resources>();

/** What all instances of the fleet have together. */
export function fleetTotal(update: Update): Resources {
  const { inventory } = update.read(CONFIGURATION).current;
  const known = totals.get(inventory);
  if (known !== undefined) {
    return known;
  }
  const total = sliceFleet(inventory)
    .flatMap((slice) => slice.instances)
    .map(({ spec }) => instanceCapacity(spec))
    .reduce(addResources, NO_RESOURCES);
  totals.set(inventory, total);
  return total;
}

/** What the instances of open availability zones have together. */
export function openTotal(update: Update): Resources {
  const { zones, inventory } = update.read(CONFIGURATION).current;
  const known = openTotals.get(zones);
  if (known?.inventory === inventory) {
    return known.total;
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

/** What each team uses, fleet-wide: own slices now, others as last told. */
export function usageByTeam(update: Update): Map<string, Resources> {
  const usage = new Map<string, Resources>();
  const add = (team: string, used: Resources) =>
    usage.set(team, addResources(usage.get(team) ?? NO_RESOURCES, used));
  for (const { heartbeat, heardAt } of update.read(PEERS).views.values()) {
    if (update.now - heardAt > USAGE_MS) {
      continue; // Others have taken its slices over.
    }
    heartbeat.usage.forEach(({ team, used }) => add(team, used));
  }
  for (const slice of update.read(SLICES).slices.values()) {
    slice.teams.forEach(({ team, used }) => add(team, used));
  }
  return usage;
}

/** A team's asks, urgent ones first. */
export function orderedAsks(view: TeamView): QueuedAsk[] {
  return [...view.queue.values()].sort((a, b) =>
    Number(isUrgent(b)) - Number(isUrgent(a))
  );
}

export function isUrgent({ ask }: QueuedAsk): boolean {
  return ask.task.priority === Priority.Urgent;
}

export interface DescribeDemandOptions {
  readonly view: TeamView;
  readonly next: QueuedAsk;
  readonly used: Resources;
}

/** What the order of teams is decided on. */
export function describeDemand(
  update: Update,
  { view, next, used }: DescribeDemandOptions,
): TeamDemand {
  const { rules } = update.read(CONFIGURATION).current;
  const rule = rules.teams.find(({ name }) => name === view.team);
  return {
    team: view.team,
    weight: rule?.share ?? 0,
    used,
    urgent: isUrgent(next),
    oldestWaitMs: update.now - next.receivedAt,
    size: next.ask.task.size,
  };
}

/** Number of asks that wait for room in a slice. */
export function countWaiting(slice: Slice): number {
  let waiting = 0;
  for (const view of slice.teams.values()) {
    waiting += view.queue.size;
  }
  return waiting;
}
