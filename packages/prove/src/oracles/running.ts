/** Oracles of what may run, where and how often. */
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
import { Point, SECONDS_MS } from "../point.ts";
import {
  describeRun,
  groupRuns,
  overlaps,
  runsOfTasks,
  sweep,
} from "./runs.ts";

/** What runs on an instance fits into what the inventory gives it. */
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

/** No two attempts of a task overlap. */
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
            `in two places: ${describeRun(earlier)} and ${describeRun(later)}`
          )
      )
    );
  }
}

/** Work that is not idempotent is started once at most. */
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

/** No start takes a team over every ceiling of the last seconds. */
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
          .versionsBetween(startedAt - SECONDS_MS, startedAt)
          .some(({ configuration }) =>
            isBelow(used, ceilingOf(configuration, team))
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

/** Nothing starts in a zone that has been out for seconds. */
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
      .filter((run) => isBarred(history, run))
      .map((run) => `start in a drained zone: ${describeRun(run)}`);
  }
}

function isBarred(history: History, run: Run): boolean {
  const { startedAt, instanceId } = run;
  const zone = FLEET.find((i) => i.instanceId === instanceId)!.availabilityZone;
  return history.versionsBetween(startedAt - SECONDS_MS, startedAt)
    .every(({ configuration }) =>
      configuration.zones[zone] === ZoneState.Draining
    );
}

/** Nothing starts on an instance that has been leaving for seconds. */
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
      .filter((run) => hasLeft(history, run) || isOffInventory(history, run))
      .map((run) => `start on a leaving instance: ${describeRun(run)}`);
  }
}

/** While the platform is faulty, nobody can read its list. */
function hasLeft(history: History, run: Run): boolean {
  const { startedAt } = run;
  return history.leaving.some(({ instanceId, at, until }) =>
    instanceId === run.instanceId && startedAt > at + SECONDS_MS &&
    startedAt < until &&
    history.isPlatformSound(startedAt - SECONDS_MS, startedAt)
  );
}

function isOffInventory(history: History, run: Run): boolean {
  const { startedAt, instanceId } = run;
  return history.versionsBetween(startedAt - SECONDS_MS, startedAt)
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

function isBelow(used: Resources, ceiling: Ceiling): boolean {
  return used.slots <= (ceiling.tasks ?? Infinity) &&
    used.cpuMillis <= (ceiling.cpu ?? Infinity) * 1_000 &&
    used.memoryMb <= (ceiling.memoryMb ?? Infinity);
}
