import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import { alivePeers, homeUnit, PEERS } from "@mustardweir/membership";
import {
  addResources,
  dominantShare,
  NO_RESOURCES,
  type Resources,
  ZoneState,
} from "@mustardweir/model";
import {
  type CallerAnswer,
  CallerAnswerKind,
  type Heartbeat,
  type MissingParts,
  type SchedulerStatus,
  type SliceSummary,
  type TeamStatus,
  type ZoneStatus,
} from "@mustardweir/protocol";
import { ADMISSION } from "./admission_state.ts";

/**
 * Time without a heartbeat after which a scheduler is assumed to be replaced
 * and is no longer listed, in milliseconds.
 */
const SCHEDULER_RETENTION_MS = 3_600_000;

/** Builds the answer of the teams call from the live schedulers' heartbeats. */
export function buildTeamsAnswer(update: Update): CallerAnswer {
  const { current } = update.read(CONFIGURATION);
  const heartbeats = aliveHeartbeats(update);
  const totals = [...newestSlices(heartbeats).values()].map((s) => s.total);
  const total = totals.reduce(addResources, NO_RESOURCES);
  const used = usageByTeam(heartbeats);
  const waiting = waitingByTeam(heartbeats);
  const owned = ownedUnits(heartbeats);
  const { teams } = current.rules;
  const shares = teams.reduce((sum, team) => sum + team.share, 0);
  return {
    kind: CallerAnswerKind.Teams,
    teams: teams.map(({ name, share, ceiling }): TeamStatus => {
      const usage = used.get(name) ?? NO_RESOURCES;
      return {
        team: name,
        share,
        ceiling,
        used: usage,
        dominantShare: dominantShare(usage, total),
        entitlement: share / shares,
        // Heartbeats omit teams that use nothing and have nothing waiting.
        waiting: owned.has(homeUnit(name)) ? waiting.get(name) ?? 0 : undefined,
      };
    }),
    configurationVersion: current.version,
    ...missingParts(update),
  };
}

/** Builds the answer of the fleet call from the schedulers' last heartbeats. */
export function buildFleetAnswer(update: Update): CallerAnswer {
  const { current } = update.read(CONFIGURATION);
  const slices = [...newestSlices(aliveHeartbeats(update)).values()];
  return {
    kind: CallerAnswerKind.Fleet,
    schedulers: listSchedulerStatuses(update),
    availabilityZones: current.inventory.availabilityZones.map(
      ({ name, racks }): ZoneStatus => ({
        availabilityZone: name,
        state: current.zones[name] ?? ZoneState.Open,
        instances: racks.flatMap((rack) => rack.instances).length,
        slices: slices.filter(({ sliceId }) => sliceId.startsWith(`${name}/`)),
      }),
    ),
    configurationVersion: current.version,
    ...missingParts(update),
  };
}

/** Returns the slices, homes and schedulers that no live heartbeat covers. */
function missingParts(update: Update): MissingParts {
  const heartbeats = aliveHeartbeats(update);
  const slices = newestSlices(heartbeats);
  const owned = ownedUnits(heartbeats);
  const alive = new Set(heartbeats.map(({ nodeId }) => nodeId));
  const { teams } = update.read(CONFIGURATION).current.rules;
  return {
    missingSlices: update.read(ADMISSION).fleet.sliceIds.filter((sliceId) =>
      !slices.has(sliceId)
    ),
    missingHomes: teams.map(({ name }) => name).filter((name) =>
      !owned.has(homeUnit(name))
    ),
    missingSchedulers: listSchedulerStatuses(update)
      .filter(({ nodeId }) => !alive.has(nodeId))
      .map(({ nodeId }) => nodeId),
  };
}

function listSchedulerStatuses(update: Update): SchedulerStatus[] {
  const views = [...update.read(PEERS).views.values()]
    .filter(({ receivedAt }) =>
      update.now - receivedAt < SCHEDULER_RETENTION_MS
    );
  return views.map(({ heartbeat, receivedAt }) => ({
    nodeId: heartbeat.nodeId,
    availabilityZone: heartbeat.availabilityZone,
    configurationVersion: heartbeat.configurationVersion,
    isStopping: heartbeat.stopping,
    silentMs: Math.round(update.now - receivedAt),
    owned: heartbeat.owned.length,
  })).sort((a, b) => a.nodeId < b.nodeId ? -1 : 1);
}

function aliveHeartbeats(update: Update): Heartbeat[] {
  return alivePeers(update.read(PEERS), update.now)
    .map((view) => view.heartbeat);
}

function ownedUnits(heartbeats: readonly Heartbeat[]): Set<string> {
  return new Set(
    heartbeats.flatMap(({ owned }) => owned.map(({ unit }) => unit)),
  );
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

function waitingByTeam(heartbeats: readonly Heartbeat[]): Map<string, number> {
  const waiting = new Map<string, number>();
  for (const part of heartbeats.flatMap((h) => h.usage)) {
    if (part.waiting !== undefined) {
      waiting.set(part.team, (waiting.get(part.team) ?? 0) + part.waiting);
    }
  }
  return waiting;
}
