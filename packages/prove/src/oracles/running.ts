/** Oracles of which tasks run, where and how often. */
import {
  type Ceiling,
  type Configuration,
  fitsWithin,
  type Resources,
  ZoneState,
} from "@mustardweir/model";
import { FLEET } from "../fleet.ts";
import type { History, Run } from "../history.ts";
import { Oracle } from "../oracle.ts";
import { EFFECT_LIMIT_MS, Point } from "../point.ts";
import {
  describeRun,
  groupRuns,
  overlaps,
  runsOfTasks,
  sweep,
} from "./runs.ts";

/** The tasks on an instance fit within its capacity in the inventory. */
export class InstanceCapacityOracle extends Oracle {
  override readonly point = Point.InstanceCapacity;

  override countRelevant({ runs }: History): number {
    return runs.length;
  }

  override findViolations({ runs }: History): string[] {
    const violations: string[] = [];
    for (const [instanceId, group] of groupRuns(runs, (r) => r.instanceId)) {
      const { capacity } = FLEET.find((i) => i.instanceId === instanceId)!;
      sweep(group, (run, used) => {
        if (!fitsWithin(used, capacity)) {
          violations.push(`over capacity by ${describeRun(run)}`);
        }
      });
    }
    return violations;
  }
}

/** No two attempts of a task run at the same time. */
export class SingleRunOracle extends Oracle {
  override readonly point = Point.SingleRun;

  override countRelevant({ runs }: History): number {
    return runs.length;
  }

  override findViolations({ runs }: History): string[] {
    return [...runsOfTasks(runs).values()].flatMap((attempts) =>
      attempts.flatMap((later, index) =>
        attempts.slice(0, index)
          .filter((earlier) => overlaps(earlier, later))
          .map((earlier) =>
            `overlapping attempts: ${describeRun(earlier)} and ${
              describeRun(later)
            }`
          )
      )
    );
  }
}

/** Tasks that are not idempotent start at most once. */
export class AtMostOnceOracle extends Oracle {
  override readonly point = Point.AtMostOnce;

  override countRelevant({ runs }: History): number {
    return runs.filter(({ idempotent }) => !idempotent).length;
  }

  override findViolations({ runs }: History): string[] {
    const once = runs.filter(({ idempotent }) => !idempotent);
    return [...runsOfTasks(once).values()]
      .filter((attempts) => attempts.length > 1)
      .map((attempts) => `ran again: ${attempts.map(describeRun).join(", ")}`);
  }
}

/**
 * Each start keeps the team within a ceiling that was in force at some time in
 * the last {@link EFFECT_LIMIT_MS}.
 */
export class TeamCeilingOracle extends Oracle {
  override readonly point = Point.TeamCeiling;

  override countRelevant({ runs }: History): number {
    return runs.length;
  }

  override findViolations(history: History): string[] {
    const violations: string[] = [];
    for (const [team, group] of groupRuns(history.runs, (r) => r.team)) {
      sweep(group, (run, used) => {
        const { startedAt } = run;
        const isAllowed = history
          .versionsBetween(startedAt - EFFECT_LIMIT_MS, startedAt)
          .some(({ configuration }) =>
            isWithinCeiling(used, ceilingOf(configuration, team))
          );
        if (!isAllowed) {
          violations.push(
            `team ${team} over its ceiling with ${used.slots} tasks, ${used.cpuMillis} m by ${
              describeRun(run)
            }`,
          );
        }
      });
    }
    return violations;
  }
}

/** No task starts in a zone {@link EFFECT_LIMIT_MS} after it was drained. */
export class ZoneDrainOracle extends Oracle {
  override readonly point = Point.ZoneDrain;

  override countRelevant({ versions }: History): number {
    return versions.filter(({ configuration }, index) =>
      Object.entries(configuration.zones).some(([zone, state]) =>
        state === ZoneState.Draining &&
        versions[index - 1]?.configuration.zones[zone] !== state
      )
    ).length;
  }

  override findViolations(history: History): string[] {
    return history.runs
      .filter((run) => isInDrainedZone(history, run))
      .map((run) => `start in a drained zone: ${describeRun(run)}`);
  }
}

function isInDrainedZone(history: History, run: Run): boolean {
  const { startedAt, instanceId } = run;
  const zone = FLEET.find((i) => i.instanceId === instanceId)!.availabilityZone;
  return history.versionsBetween(startedAt - EFFECT_LIMIT_MS, startedAt)
    .every(({ configuration }) =>
      configuration.zones[zone] === ZoneState.Draining
    );
}

/**
 * No task starts on an instance that has been leaving, or has been out of the
 * inventory, for {@link EFFECT_LIMIT_MS}.
 */
export class LeavingTargetOracle extends Oracle {
  override readonly point = Point.LeavingTarget;

  override countRelevant({ versions, leaving }: History): number {
    const removals = versions.filter(({ configuration }, index) =>
      FLEET.some(({ instanceId }) =>
        !hasInstance(configuration, instanceId) && index > 0 &&
        hasInstance(versions[index - 1]!.configuration, instanceId)
      )
    );
    return removals.length + leaving.length;
  }

  override findViolations(history: History): string[] {
    return history.runs
      .filter((run) => isListedLeaving(history, run) || isRemoved(history, run))
      .map((run) => `start on a leaving instance: ${describeRun(run)}`);
  }
}

/**
 * Returns whether the instance had been listed as leaving for longer than
 * {@link EFFECT_LIMIT_MS} at the start. False if the platform was faulty in
 * that time, as nodes may have been unable to read the list.
 */
function isListedLeaving(history: History, run: Run): boolean {
  const { startedAt } = run;
  return history.leaving.some(({ instanceId, at, until }) =>
    instanceId === run.instanceId && startedAt > at + EFFECT_LIMIT_MS &&
    startedAt < until &&
    history.isPlatformHealthy(startedAt - EFFECT_LIMIT_MS, startedAt)
  );
}

function isRemoved(history: History, run: Run): boolean {
  const { startedAt, instanceId } = run;
  return history.versionsBetween(startedAt - EFFECT_LIMIT_MS, startedAt)
    .every(({ configuration }) => !hasInstance(configuration, instanceId));
}

function hasInstance(
  { inventory }: Configuration,
  instanceId: string,
): boolean {
  return inventory.availabilityZones.some(({ racks }) =>
    racks.some(({ instances }) => instances.some(({ id }) => id === instanceId))
  );
}

function ceilingOf({ rules }: Configuration, team: string): Ceiling {
  return rules.teams.find(({ name }) => name === team)?.ceiling ?? {};
}

function isWithinCeiling(used: Resources, ceiling: Ceiling): boolean {
  return used.slots <= (ceiling.tasks ?? Infinity) &&
    used.cpuMillis <= (ceiling.cpu ?? Infinity) * 1_000 &&
    used.memoryMb <= (ceiling.memoryMb ?? Infinity);
}
