import { parseSection, sectionObjectKey } from "@mustardweir/configuration";
import { ConfigurationSection, KeyRole, sliceFleet } from "@mustardweir/model";
import { Benchmark, registerBenchmark } from "./benchmark.ts";
import type { Metric } from "./metric.ts";
import { liveHeapMb } from "./scaling/heap.ts";
import { createRegionConfiguration } from "./scaling/region_fleet.ts";

const FLEET_SIZES = [34, 340, 3_400, 23_000];
const REPEATS = 5;
const TEAMS = 180;
const KEYS = 5 * TEAMS;

/** Edits per second at 39,000 per day. */
const EDITS_PER_SECOND = 39_000 / 86_400;

/** Cost for a node to load an edited inventory or edited keys. */
export class ConfigurationBenchmark extends Benchmark {
  override readonly name = "configuration";

  override run(): Metric[] {
    return [...FLEET_SIZES.flatMap(measure), ...measureKeys()];
  }
}

function measure(instances: number): Metric[] {
  const { inventory } = createRegionConfiguration({
    instances,
    regions: 10,
    zones: 21,
    teams: TEAMS,
  });
  const body = JSON.stringify(inventory);
  const heapBefore = liveHeapMb();
  let parsed = loadInventory(body);
  const heapMb = liveHeapMb() - heapBefore;
  const times = Array.from({ length: REPEATS }, () => {
    const start = performance.now();
    parsed = loadInventory(body);
    return performance.now() - start;
  }).sort((a, b) => a - b);
  const medianMs = times[Math.floor(REPEATS / 2)]!;
  const bytes = Buffer.byteLength(body);
  const metrics: Metric[] = [
    { name: "inventory", value: bytes, unit: "B" },
    { name: "slices", value: parsed.length, unit: "slices" },
    { name: "heap", value: heapMb, unit: "MB" },
    { name: "follow", value: medianMs, unit: "ms" },
    { name: "follow.min", value: times[0]!, unit: "ms" },
    { name: "follow.max", value: times.at(-1)!, unit: "ms" },
    {
      name: "cpu-if-all-edit-inventory",
      value: EDITS_PER_SECOND * medianMs,
      unit: "ms/s",
    },
    {
      name: "bytes-if-all-edit-inventory",
      value: EDITS_PER_SECOND * bytes,
      unit: "B/s",
    },
  ];
  return metrics.map((metric) => ({
    ...metric,
    name: `${instances}.${metric.name}`,
  }));
}

/** Measures the section of keys, which every grant and withdrawal replaces. */
function measureKeys(): Metric[] {
  const keys = Array.from({ length: KEYS }, (_, index) => ({
    id: `team-${index % TEAMS}-key-${index}`,
    hash: index.toString(16).padStart(64, "0"),
    role: KeyRole.Submitter,
    team: `team-${index % TEAMS}`,
  }));
  const body = JSON.stringify(keys);
  const bytes = Buffer.byteLength(body);
  const times = Array.from({ length: REPEATS }, () => {
    const start = performance.now();
    sectionObjectKey(body);
    parseSection(ConfigurationSection.Keys, JSON.parse(body))._unsafeUnwrap();
    return performance.now() - start;
  }).sort((a, b) => a - b);
  return [
    { name: `keys.${KEYS}`, value: bytes, unit: "B" },
    {
      name: `keys.${KEYS}.follow`,
      value: times[Math.floor(REPEATS / 2)]!,
      unit: "ms",
    },
    {
      name: "keys.bytes-if-all-edit-keys",
      value: EDITS_PER_SECOND * bytes,
      unit: "B/s",
    },
  ];
}

/**
 * Loads an inventory as the configuration follower does: hashes the body,
 * parses and validates it, and divides the fleet into slices.
 */
function loadInventory(body: string) {
  sectionObjectKey(body);
  const inventory = parseSection(
    ConfigurationSection.Inventory,
    JSON.parse(body),
  )._unsafeUnwrap();
  return sliceFleet(inventory as Parameters<typeof sliceFleet>[0]);
}

registerBenchmark(new ConfigurationBenchmark());
