import {
  type Configuration,
  EMPTY_CONFIGURATION,
  type InstanceSpec,
} from "@mustardweir/model";

/** Options of a fleet and its teams. */
export interface FleetOptions {
  /** Shares by team. */
  readonly shares: Readonly<Record<string, number>>;
  /** Number of instances per zone. */
  readonly instances: number;
  /** Differences from the default instance. */
  readonly instanceSpec?: Partial<Omit<InstanceSpec, "id" | "address">>;
  /** Number of zones; 3 by default. */
  readonly zones?: number;
  /** Number of instances per rack; 5 by default. */
  readonly rackSize?: number;
}

const DEFAULT_INSTANCE = {
  cpu: 16,
  memoryMb: 65_536,
  accelerators: 0,
  slots: 64,
};

/** Returns a configuration with zones of equal instances. */
export function createFleetConfiguration(options: FleetOptions): Configuration {
  const { zones = 3 } = options;
  return {
    ...EMPTY_CONFIGURATION,
    version: 1,
    inventory: {
      availabilityZones: Array.from({ length: zones }, (_, zone) => ({
        name: `z${zone}`,
        region: "r",
        racks: createRacks(`z${zone}`, options),
      })),
    },
    rules: {
      teams: Object.entries(options.shares).map(([name, share]) => ({
        name,
        share,
        ceiling: {},
        maySubmit: true,
      })),
      objectives: [],
    },
  };
}

function createRacks(zone: string, options: FleetOptions) {
  const { rackSize = 5, instances } = options;
  const count = Math.ceil(instances / rackSize);
  return Array.from({ length: count }, (_, rack) => ({
    name: `${zone}-r${rack}`,
    instances: Array.from(
      { length: Math.min(rackSize, instances - rack * rackSize) },
      (_, index) => createInstance(`${zone}-r${rack}-${index}`, options),
    ),
  }));
}

function createInstance(
  id: string,
  { instanceSpec }: FleetOptions,
): InstanceSpec {
  const address = `http://127.0.0.1/${id}`;
  return { ...DEFAULT_INSTANCE, ...instanceSpec, id, address };
}
