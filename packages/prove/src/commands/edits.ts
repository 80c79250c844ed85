/** Commands of operators. */
import {
  type Configuration,
  ConfigurationSection,
  type Inventory,
  type Rules,
  ZoneState,
} from "@mustardweir/model";
import { CallerCallKind } from "@mustardweir/protocol";
import {
  FLEET,
  INITIAL_CONFIGURATION,
  OPERATOR_KEY,
  TEAMS,
  ZONES,
} from "../fleet.ts";
import { type Call } from "../history.ts";
import type { Cluster } from "../simulation/cluster.ts";
import type { Command } from "./command.ts";
import { pickEntry, pickFrom } from "./picks.ts";

/** Delays from the withdrawal of a key to its uses, in milliseconds. */
const WITHDRAWN_USES_MS = [500, 2_500, 4_500, 7_000, 10_000] as const;

/** An edit of one section of the configuration. */
export interface SectionEdit {
  readonly section: ConfigurationSection;
  /** Returns the new body of the section. */
  readonly change: (current: Configuration) => unknown;
  /** Index of the entry that is called; the first by default. */
  readonly entryIndex?: number;
}

/** Sends an edit that is based on the newest committed version. */
export function editConfiguration(
  cluster: Cluster,
  { section, change, entryIndex = 0 }: SectionEdit,
): Call {
  const { configuration } = cluster.history.versions.at(-1)!;
  return cluster.call({
    kind: CallerCallKind.EditConfiguration,
    section,
    body: change(configuration),
    ifMatch: configuration.version,
  }, { entryId: pickEntry(cluster, entryIndex), keyId: OPERATOR_KEY });
}

/** Grants a key of the initial configuration, also if it was withdrawn. */
export function grantKey(cluster: Cluster, { pick, other }: Command): void {
  const key = pickFrom(INITIAL_CONFIGURATION.keys, pick)!;
  editConfiguration(cluster, {
    section: ConfigurationSection.Keys,
    change: ({ keys }) => [...keys.filter(({ id }) => id !== key.id), key],
    entryIndex: other,
  });
}

/** Withdraws a key and continues to use it. */
export function withdrawKey(cluster: Cluster, { pick, other }: Command): void {
  const { id, team } = pickFrom(INITIAL_CONFIGURATION.keys, pick)!;
  editConfiguration(cluster, {
    section: ConfigurationSection.Keys,
    change: ({ keys }) => keys.filter((key) => key.id !== id),
    entryIndex: other,
  });
  for (const delayMs of WITHDRAWN_USES_MS) {
    cluster.clock.after(delayMs, () => {
      const entryId = pickEntry(cluster, other + delayMs / 500);
      const call = { kind: CallerCallKind.List } as const;
      cluster.call(call, { entryId, keyId: id, team });
    });
  }
}

/** Sends two edits based on the same version, one through each entry. */
export function raceEdits(cluster: Cluster, { pick }: Command): void {
  const zone = ZONES[pick % ZONES.length]!;
  const team = TEAMS[pick % TEAMS.length]!;
  editConfiguration(cluster, {
    section: ConfigurationSection.Zones,
    change: ({ zones }) => ({ ...zones, [zone]: ZoneState.Draining }),
    entryIndex: 0,
  });
  editConfiguration(cluster, {
    section: ConfigurationSection.Rules,
    change: ({ rules }) => withCeiling(rules, team, 3),
    entryIndex: 1,
  });
}

/** Opens or drains an availability zone. */
export function setZone(
  cluster: Cluster,
  { pick, other }: Command,
  state: ZoneState,
): void {
  const zone = ZONES[pick % ZONES.length]!;
  editConfiguration(cluster, {
    section: ConfigurationSection.Zones,
    change: ({ zones }) => ({ ...zones, [zone]: state }),
    entryIndex: other,
  });
}

/** Changes the ceiling of a team. */
export function setCeiling(
  cluster: Cluster,
  command: Command,
  tasks: number,
): void {
  const team = TEAMS[command.pick % TEAMS.length]!;
  editConfiguration(cluster, {
    section: ConfigurationSection.Rules,
    change: ({ rules }) => withCeiling(rules, team, tasks),
    entryIndex: command.other,
  });
}

/** Returns the rules with the ceiling of one team replaced. */
export function withCeiling(
  rules: Rules,
  name: string,
  tasks: number,
): Rules {
  const teams = rules.teams.map((team) =>
    team.name === name ? { ...team, ceiling: { tasks } } : team
  );
  return { ...rules, teams };
}

/** Removes an instance from the inventory. */
export function removeInstance(
  cluster: Cluster,
  { pick, other }: Command,
): void {
  const { instanceId } = pickFrom(FLEET, pick)!;
  editConfiguration(cluster, {
    section: ConfigurationSection.Inventory,
    change: ({ inventory }) => withoutInstance(inventory, instanceId),
    entryIndex: other,
  });
}

function withoutInstance(
  inventory: Inventory,
  instanceId: string,
): Inventory {
  return {
    availabilityZones: inventory.availabilityZones.map((zone) => ({
      ...zone,
      racks: zone.racks.map((rack) => ({
        ...rack,
        instances: rack.instances.filter(({ id }) => id !== instanceId),
      })),
    })),
  };
}
