import {
  type Configuration,
  EMPTY_CONFIGURATION,
  type InstanceSpec,
} from "@mustardweir/model";

/** The shape of a fleet and its teams. */
export interface FleetOptions {
  /** Shares by team. */
  readonly shares: Readonly<Record<string, number>>;
  /** Instances in each zone. */
  readonly instances: number;
  readonly shape?: Partial<Omit<InstanceSpec, "id" | "address">>;
  /** 3 by default. */
  readonly zones?: number;
  /** Instances of a rack; 5 by default. */
  readonly rackSize?: number;
}

const DEFAULT_SHAPE = {
  cpu: 16,
  memoryMb: 65_536,
  accelerators: 0,
  slots: 64,
};

/** A configuration with zones of equal instances. */
export function createFleet(options: FleetOptions): Configuration {
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

function createInstance(id: string, { shape }: FleetOptions): InstanceSpec {
  const address = `http://127.0.0.1/${id}`;
  return { ...DEFAULT_SHAPE, ...shape, id, address };
}
