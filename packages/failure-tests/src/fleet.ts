import type { Fleet } from "@mustardweir/demo";
import { inventorySchema, rulesSchema } from "@mustardweir/model";

/** The teams of the small fleet; each has work of its own kind in the load. */
export enum Team {
  Alerts = "alerts",
  Orders = "orders",
  Ledger = "ledger",
  Ovens = "ovens",
  Models = "models",
}

const ZONES = ["zone-a", "zone-b", "zone-c"];
const INSTANCES_PER_ZONE = 3;

/** Placeholder that is replaced by the address of the zone's workers. */
const NO_ADDRESS = "http://127.0.0.1:9";

/** Three availability zones of three instances, five teams, two ceilings. */
export const FLEET: Fleet = {
  name: "small",
  inventory: inventorySchema.parse({
    availabilityZones: ZONES.map((zone) => ({
      name: zone,
      region: "region-1",
      racks: [{ name: `${zone}-r1`, instances: makeInstances(zone) }],
    })),
  }),
  rules: rulesSchema.parse({
    teams: [
      { name: Team.Alerts, share: 2 },
      { name: Team.Orders, share: 2 },
      { name: Team.Ledger, share: 1, ceiling: { tasks: 4 } },
      { name: Team.Ovens, share: 2 },
      { name: Team.Models, share: 2, ceiling: { accelerators: 24 } },
    ],
  }),
};

function makeInstances(zone: string) {
  return Array.from({ length: INSTANCES_PER_ZONE }, (_, index) => ({
    id: `${zone}-${index + 1}`,
    address: NO_ADDRESS,
    cpu: 32,
    memoryMb: 131_072,
    accelerators: 4,
    slots: 16,
  }));
}
