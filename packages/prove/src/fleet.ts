import { createHash } from "node:crypto";
import { sectionObjectKey } from "@mustardweir/configuration";
import {
  type Configuration,
  ConfigurationSection,
  instanceCapacity,
  type InstanceSpec,
  KeyRole,
  type Resources,
} from "@mustardweir/model";

/** The availability zones of the simulated fleet. */
export const ZONES = ["a", "b", "c"] as const;
/** The teams of the simulated fleet. */
export const TEAMS = ["storefront", "imaging"] as const;

/** Number of instances in the single rack of each zone. */
const INSTANCES_PER_ZONE = 2;

/** Id of the operator key, which no edit withdraws. */
export const OPERATOR_KEY = "operator";

/** Number of keys that each team has in the initial configuration. */
export const KEYS_PER_TEAM = 2;

/** Returns the hash under which the configuration lists a key. */
export function keyHash(keyId: string): string {
  return createHash("sha256").update(keyId).digest("hex");
}

/** Returns the id of a team's key; `index` wraps around. */
export function teamKeyId(team: string, index: number): string {
  return `${team}-${index % KEYS_PER_TEAM}`;
}

/** The configuration at the start of every run. */
export const INITIAL_CONFIGURATION: Configuration = {
  version: 1,
  inventory: {
    availabilityZones: ZONES.map((zone) => ({
      name: zone,
      region: "r",
      racks: [{ name: `rack-${zone}`, instances: listInstances(zone) }],
    })),
  },
  rules: {
    teams: [
      { name: "storefront", share: 2, ceiling: { tasks: 10 }, maySubmit: true },
      { name: "imaging", share: 1, ceiling: { cpu: 14 }, maySubmit: true },
    ],
    objectives: [],
  },
  zones: {},
  keys: TEAMS.flatMap((team) =>
    [...Array(KEYS_PER_TEAM).keys()].map((index) => ({
      id: teamKeyId(team, index),
      hash: keyHash(teamKeyId(team, index)),
      role: KeyRole.Submitter,
      team,
    }))
  ),
};

/** The configuration at the end of every run; no ceiling delays jobs. */
export const FINAL_CONFIGURATION: Configuration = {
  ...INITIAL_CONFIGURATION,
  rules: {
    ...INITIAL_CONFIGURATION.rules,
    teams: INITIAL_CONFIGURATION.rules.teams.map((team) => ({
      ...team,
      ceiling: {},
    })),
  },
};

/** Returns the section bodies of the initial configuration by object key. */
export function initialObjects(): ReadonlyMap<string, string> {
  const objects = new Map<string, string>();
  for (const section of Object.values(ConfigurationSection)) {
    const body = JSON.stringify(INITIAL_CONFIGURATION[section]);
    objects.set(sectionObjectKey(body), body);
  }
  return objects;
}

/** Returns the table row of the initial configuration. */
export function initialRow(): string {
  const sections = Object.values(ConfigurationSection).map((section) => [
    section,
    sectionObjectKey(JSON.stringify(INITIAL_CONFIGURATION[section])),
  ]);
  return JSON.stringify({
    version: 1,
    sections: Object.fromEntries(sections),
    nonces: ["initial"],
  });
}

/** An instance of the simulated fleet. */
export interface FleetInstance {
  readonly instanceId: string;
  readonly availabilityZone: string;
  readonly capacity: Resources;
}

/** All instances of the initial inventory. */
export const FLEET: readonly FleetInstance[] = INITIAL_CONFIGURATION.inventory
  .availabilityZones.flatMap((zone) =>
    zone.racks.flatMap((rack) =>
      rack.instances.map((spec) => ({
        instanceId: spec.id,
        availabilityZone: zone.name,
        capacity: instanceCapacity(spec),
      }))
    )
  );

function listInstances(zone: string): InstanceSpec[] {
  return [...Array(INSTANCES_PER_ZONE).keys()].map((index) => ({
    id: `w-${zone}${index}`,
    address: `http://127.0.0.1/${zone}${index}`,
    cpu: 8,
    memoryMb: 16_384,
    accelerators: 0,
    slots: 4,
  }));
}
