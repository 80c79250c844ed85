import { Random } from "@mustardweir/kernel";
import { JobKind, ZoneState } from "@mustardweir/model";
import { createFleet } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;
const INSTANCES = 20;
const ZONE_CORES = INSTANCES * 16;
const ZONE = "z0";

/** How long the zone stays away, in milliseconds. */
const AWAY_MS = 30_000;

/** How long its return is looked at, in milliseconds. */
const BACK_MS = 20_000;

/** Time between looks, in milliseconds. */
const LOOK_MS = 250;

/** What a drain and return of a zone did to the fleet's use. */
export interface DrainTrialResult {
  /** Part of the open zones in use, smallest of all looks. */
  readonly leastUsedAway: number;
  /** Part of the whole fleet in use after the return, on average. */
  readonly meanUsedBack: number;
  /** From the return until nine tenths of the fleet are in use, in ms. */
  readonly filledMs: number;
  /** From the drain until nothing that can be moved runs in the zone, in ms. */
  readonly emptiedMs: number;
  /** Tasks that were stopped, of those that ran there. */
  readonly stopped: number;
  /** Asks taken back to be asked elsewhere. */
  readonly moved: number;
}

/** Takes one of three full zones out and brings it back. */
export function runDrainTrial(seed: number): DrainTrialResult {
  const configuration = createFleet({
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
  const away = watch(loopback, AWAY_MS);
  const stopped = loopback.counter("tasks_ended_preempted") - before;
  const moved = loopback.counter("asks_moved");
  loopback.configure({ ...configuration, version: 3, zones: {} });
  const back = watch(loopback, BACK_MS);
  const usedAway = away.map(({ open }) => open / (2 * ZONE_CORES));
  const usedBack = back.map(({ open, drained }) =>
    (open + drained) / (3 * ZONE_CORES)
  );
  return {
    leastUsedAway: Math.min(...usedAway),
    meanUsedBack: mean(usedBack),
    filledMs: firstAt(usedBack, (used) => used >= 0.9),
    emptiedMs: firstAt(away, ({ drained }) => drained === 0),
    stopped,
    moved: loopback.counter("asks_moved") - moved,
  };
}

/** Cores in use in the open zones and in the one that drains. */
interface Look {
  readonly open: number;
  readonly drained: number;
}

function watch(loopback: Loopback, forMs: number): Look[] {
  const looks: Look[] = [];
  for (let elapsed = 0; elapsed < forMs; elapsed += LOOK_MS) {
    loopback.run(LOOK_MS);
    const drained = coresIn(loopback, ZONE);
    looks.push({ open: coresIn(loopback, "") - drained, drained });
  }
  return looks;
}

function coresIn(loopback: Loopback, zone: string): number {
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

function firstAt<Item>(
  items: readonly Item[],
  isReached: (item: Item) => boolean,
): number {
  const index = items.findIndex(isReached);
  return index < 0 ? Infinity : (index + 1) * LOOK_MS;
}
