import { readFileSync } from "node:fs";
import {
  type Inventory,
  inventorySchema,
  type Rules,
  rulesSchema,
} from "@mustardweir/model";
import { parse } from "yaml";

/** The example fleets. */
export enum FleetName {
  LoneStar = "lone-star",
  Salamavahti = "salamavahti",
}

/** A fleet and its rules. */
export interface Fleet {
  readonly name: string;
  readonly inventory: Inventory;
  readonly rules: Rules;
}

/** A fleet described by the files under `examples/`. */
export interface ExampleFleet extends Fleet {
  readonly name: FleetName;
}

const EXAMPLES = new URL("../../../examples/", import.meta.url);

/** Reads a fleet from the files under `examples/`. */
export function readFleet(name: FleetName): ExampleFleet {
  return {
    name,
    inventory: inventorySchema.parse(readYaml(`${name}/inventory.yaml`)),
    rules: rulesSchema.parse(readYaml(`${name}/rules.yaml`)),
  };
}

/** Sets the address of each instance to its worker in the zone's process. */
export function withWorkerAddresses(
  inventory: Inventory,
  originOfZone: ReadonlyMap<string, string>,
): Inventory {
  return {
    availabilityZones: inventory.availabilityZones.map((zone) => ({
      ...zone,
      racks: zone.racks.map((rack) => ({
        ...rack,
        instances: rack.instances.map((instance) => ({
          ...instance,
          address: `${originOfZone.get(zone.name)}/${instance.id}`,
        })),
      })),
    })),
  };
}

function readYaml(path: string): unknown {
  return parse(readFileSync(new URL(path, EXAMPLES), "utf8"));
}
