import {
  type Configuration,
  EMPTY_CONFIGURATION,
  type InstanceSpec,
} from "@mustardweir/model";

/** The size of a fleet with several regions. */
export interface RegionFleetOptions {
  readonly instances: number;
  readonly regions: number;
  /** Number of zones in all regions together. */
  readonly zones: number;
  readonly teams: number;
}

const RACK_SIZE = 20;
const INSTANCE = { cpu: 64, memoryMb: 262_144, slots: 64 };

/** Accelerators of every sixth instance; 33,000 in a fleet of 23,000. */
const ACCELERATORS = 8;
const ACCELERATED_EVERY = 6;

/** Returns a configuration with instances spread over zones and regions. */
export function createRegionConfiguration(
  options: RegionFleetOptions,
): Configuration {
  const { regions, zones, teams } = options;
  return {
    ...EMPTY_CONFIGURATION,
    version: 1,
    inventory: {
      availabilityZones: Array.from({ length: zones }, (_, zone) => ({
        name: `z${zone}`,
        region: `r${zone % regions}`,
        racks: createRacks(zone, options),
      })),
    },
    rules: {
      teams: Array.from({ length: teams }, (_, team) => ({
        name: teamName(team),
        share: 1 + team % 8,
        ceiling: {},
        maySubmit: true,
      })),
      objectives: [],
    },
  };
}

/** Returns the name of the team with that number. */
export function teamName(team: number): string {
  return `team-${team}`;
}

function createRacks(zone: number, { instances, zones }: RegionFleetOptions) {
  const first = Math.floor(instances * zone / zones);
  const end = Math.floor(instances * (zone + 1) / zones);
  const count = Math.ceil((end - first) / RACK_SIZE);
  return Array.from({ length: count }, (_, rack) => ({
    name: `z${zone}-r${rack}`,
    instances: Array.from(
      { length: Math.min(RACK_SIZE, end - first - rack * RACK_SIZE) },
      (_, index) => createInstance(first + rack * RACK_SIZE + index),
    ),
  }));
}

function createInstance(index: number): InstanceSpec {
  return {
    ...INSTANCE,
    id: `i${index}`,
    address: `http://10.${index >> 16}.${index >> 8 & 255}.${index & 255}:8080`,
    accelerators: index % ACCELERATED_EVERY === 0 ? ACCELERATORS : 0,
  };
}
