import { Random } from "@mustardweir/kernel";
import { JobKind, ZoneState } from "@mustardweir/model";
import { createFleetConfiguration } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;
const INSTANCES = 20;
const ZONE_CORES = INSTANCES * 16;
const ZONE = "z0";

/** How long the zone drains, in milliseconds. */
const DRAINING_MS = 30_000;

/** How long the fleet is sampled after the zone's return, in milliseconds. */
const RETURNED_MS = 20_000;

/** Time between samples, in milliseconds. */
const SAMPLE_INTERVAL_MS = 250;

/** Utilization of the fleet during the drain and after the return of a zone. */
export interface DrainTrialResult {
  /** Smallest fraction of the open zones' cores in use during the drain. */
  readonly minUsedDraining: number;
  /** Mean fraction of the fleet's cores in use after the return. */
  readonly meanUsedReturned: number;
  /** Time from the return until 90% of the fleet is in use, in ms. */
  readonly filledMs: number;
  /** Time from the start of the drain until the zone runs no task, in ms. */
  readonly emptiedMs: number;
  /** Number of tasks stopped during the drain. */
  readonly stopped: number;
  /** Number of asks withdrawn and sent to another slice after the return. */
  readonly moved: number;
}

/** Drains one of three full zones and returns it to service. */
export function runDrainTrial(seed: number): DrainTrialResult {
  const configuration = createFleetConfiguration({
    shares: { storefront: 1, imaging: 1 },
    instances: INSTANCES,
  });
  const loopback = new Loopback({ configuration, seed, schedulers: 6 });
  const random = new Random(seed);
  loopback.run(WARM_UP_MS);
  loopback.submit("storefront", services());
  for (let index = 0; index < 4_000; index++) {
    loopback.submit("imaging", batch(5_000 + random.below(20_000)));
  }
  loopback.run(2 * WARM_UP_MS);
  const before = loopback.counter("tasks_ended_preempted");
  const zones = { [ZONE]: ZoneState.Draining };
  loopback.configure({ ...configuration, version: 2, zones });
  const draining = sampleUsage(loopback, DRAINING_MS);
  const stopped = loopback.counter("tasks_ended_preempted") - before;
  const moved = loopback.counter("asks_moved");
  loopback.configure({ ...configuration, version: 3, zones: {} });
  const returned = sampleUsage(loopback, RETURNED_MS);
  const usedDraining = draining.map(({ open }) => open / (2 * ZONE_CORES));
  const usedReturned = returned.map(({ open, drained }) =>
    (open + drained) / (3 * ZONE_CORES)
  );
  return {
    minUsedDraining: Math.min(...usedDraining),
    meanUsedReturned: mean(usedReturned),
    filledMs: findFirstMs(usedReturned, (used) => used >= 0.9),
    emptiedMs: findFirstMs(draining, ({ drained }) => drained === 0),
    stopped,
    moved: loopback.counter("asks_moved") - moved,
  };
}

/** Cores in use in the open zones and in the drained one. */
interface UsageSample {
  readonly open: number;
  readonly drained: number;
}

function sampleUsage(loopback: Loopback, forMs: number): UsageSample[] {
  const samples: UsageSample[] = [];
  for (let elapsed = 0; elapsed < forMs; elapsed += SAMPLE_INTERVAL_MS) {
    loopback.run(SAMPLE_INTERVAL_MS);
    const drained = countUsedCores(loopback, ZONE);
    samples.push({ open: countUsedCores(loopback, "") - drained, drained });
  }
  return samples;
}

function countUsedCores(loopback: Loopback, zone: string): number {
  let cores = 0;
  for (const [instanceId, { state }] of loopback.workers) {
    cores += instanceId.startsWith(zone) ? state.used.cpuMillis / 1_000 : 0;
  }
  return cores;
}

function services() {
  return { kind: JobKind.Service, cpu: 2, memoryMb: 512, tasks: 140 };
}

function batch(runMs: number) {
  return {
    kind: JobKind.Batch,
    cpu: 1,
    memoryMb: 512,
    durationMs: runMs,
    payload: JSON.stringify({ runMs }),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function findFirstMs<Item>(
  items: readonly Item[],
  isReached: (item: Item) => boolean,
): number {
  const index = items.findIndex(isReached);
  return index < 0 ? Infinity : (index + 1) * SAMPLE_INTERVAL_MS;
}
