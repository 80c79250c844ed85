import { JobKind } from "@mustardweir/model";
import { createFleetConfiguration } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;
const OBSERVATION_MS = 10_000;

/** Number of instances in each of the three zones: five racks of five. */
const INSTANCES = 25;
const SERVICES = 10;

/** Number of tasks of a service: one for each rack. */
const TASKS = 15;

/** Spread of the services' tasks over racks and zones. */
export interface SpreadTrialResult {
  /** Largest number of tasks of one service in one rack. */
  readonly inRack: number;
  /** Largest number of tasks of one service in one zone. */
  readonly inZone: number;
  readonly started: number;
}

/** Starts services on a fleet that batch work has filled by half. */
export function runSpreadTrial(seed: number): SpreadTrialResult {
  const loopback = new Loopback({
    configuration: createFleetConfiguration({
      shares: { storefront: 1 },
      instances: INSTANCES,
    }),
    seed,
    schedulers: 3,
  });
  loopback.run(WARM_UP_MS);
  loopback.submit("storefront", batch());
  loopback.run(WARM_UP_MS);
  for (let index = 0; index < SERVICES; index++) {
    loopback.submit("storefront", service());
    loopback.run(OBSERVATION_MS / SERVICES);
  }
  const inRacks = new Map<string, number>();
  const inZones = new Map<string, number>();
  for (const { instanceId, task } of loopback.starts) {
    if (task.kind === JobKind.Service) {
      const [zone, rack] = instanceId.split("-");
      increment(inRacks, `${task.jobId} ${zone} ${rack}`);
      increment(inZones, `${task.jobId} ${zone}`);
    }
  }
  return {
    inRack: Math.max(...inRacks.values()),
    inZone: Math.max(...inZones.values()),
    started: [...inZones.values()].reduce((sum, tasks) => sum + tasks, 0),
  };
}

function batch() {
  const payload = JSON.stringify({ runMs: 3_600_000 });
  return { kind: JobKind.Batch, cpu: 5, memoryMb: 512, tasks: 120, payload };
}

function service() {
  return { kind: JobKind.Service, cpu: 1, memoryMb: 512, tasks: TASKS };
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
