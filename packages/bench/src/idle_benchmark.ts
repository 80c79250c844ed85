import { setTimeout as delay } from "node:timers/promises";
import {
  Api,
  Cluster,
  type Fleet,
  FleetName,
  Operator,
  readFleet,
} from "@mustardweir/demo";
import { request } from "undici";
import { Benchmark, registerBenchmark } from "./benchmark.ts";
import type { Metric } from "./metric.ts";
import { type ProcessUsage, readUsage } from "./scaling/process_usage.ts";
import { createRegionConfiguration } from "./scaling/region_fleet.ts";

interface IdleCase {
  readonly name: string;
  readonly fleet: Fleet;
  readonly isBounded: boolean;
}

const SETTLE_MS = 15_000;
const MEASURED_MS = 20_000;
const MS_PER_SECOND = 1_000;
const MAX_CPU_MS = 41;
const MAX_BYTES = 26_000;
const MAX_RSS_MB = 128;
const MAX_READS = 1_000;

/**
 * Numbers of instances. With the last one, an owner of a slice has 383 workers,
 * as in the target fleet.
 */
const LARGER_FLEETS = [340, 1_150];

/** Resource usage of an idle cluster of six entries and six schedulers. */
export class IdleBenchmark extends Benchmark {
  override readonly name = "idle";

  override async run(): Promise<Metric[]> {
    const metrics: Metric[] = [];
    for (const idleCase of listCases()) {
      metrics.push(...await measure(idleCase));
    }
    return metrics;
  }
}

function listCases(): IdleCase[] {
  const today = readFleet(FleetName.LoneStar);
  return [
    { name: "today", fleet: today, isBounded: true },
    ...LARGER_FLEETS.map((instances) => ({
      name: `${instances}`,
      fleet: createIdleFleet(instances),
      isBounded: false,
    })),
  ];
}

function createIdleFleet(instances: number): Fleet {
  const { inventory, rules } = createRegionConfiguration({
    instances,
    regions: 1,
    zones: 3,
    teams: 6,
  });
  return { name: FleetName.LoneStar, inventory, rules };
}

async function measure(
  { name, fleet, isBounded }: IdleCase,
): Promise<Metric[]> {
  const idle = new IdleCluster(fleet);
  try {
    await idle.start();
    await delay(SETTLE_MS);
    const before = await idle.takeSample();
    await delay(MEASURED_MS);
    const after = await idle.takeSample();
    const metrics = [
      ...createRoleMetrics("entry", { before, after, isBounded }),
      ...createRoleMetrics("scheduler", { before, after, isBounded }),
      {
        name: "table.reads",
        value: perSecond(after.reads - before.reads),
        unit: "1/s of all nodes",
        bound: MAX_READS,
      },
      {
        name: "table.writes",
        value: perSecond(after.writes - before.writes),
        unit: "1/s of all nodes",
      },
    ];
    return metrics.map((m) => ({ ...m, name: `${name}.${m.name}` }));
  } finally {
    await idle.stop();
  }
}

interface Sample {
  readonly usage: ReadonlyMap<string, ProcessUsage>;
  readonly reads: number;
  readonly writes: number;
}

/** Text that the platform's stand-in prints before its base URL. */
const PLATFORM_READY = "listening on ";

/** A cluster with a configuration and without work. */
class IdleCluster {
  readonly #fleet: Fleet;
  readonly #cluster: Cluster;
  #platform = "";

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#cluster = new Cluster({
      fleet,
      onLog: (name, line) => {
        if (name === "platform" && line.startsWith(PLATFORM_READY)) {
          this.#platform = line.slice(PLATFORM_READY.length).trim();
        }
      },
    });
  }

  async start(): Promise<void> {
    await this.#cluster.start();
    const api = new Api(this.#cluster.entries[0]!);
    const operator = new Operator(api);
    await operator.put("rules", this.#fleet.rules);
    await operator.put("inventory", this.#cluster.inventory);
    await api.close();
  }

  async stop(): Promise<void> {
    await this.#cluster.stop();
  }

  async takeSample(): Promise<Sample> {
    const { schedulers, entryAddresses } = this.#cluster;
    const res = await request(`${this.#platform}/v1/stats`);
    const { reads, writes } = await res.body.json() as Omit<Sample, "usage">;
    const usage = [...schedulers, ...entryAddresses].map(({ nodeId }) =>
      [nodeId, readUsage(this.#cluster.child(nodeId).pid ?? 0)] as const
    );
    return { usage: new Map(usage), reads, writes };
  }
}

interface Samples {
  readonly before: Sample;
  readonly after: Sample;
  readonly isBounded: boolean;
}

/** Returns the mean and maximum over the processes of a role. */
function createRoleMetrics(
  role: string,
  { before, after, isBounded }: Samples,
): Metric[] {
  const names = [...after.usage.keys()].filter((n) => n.startsWith(role));
  const rates = (value: (usage: ProcessUsage) => number) =>
    names.map((n) =>
      perSecond(value(after.usage.get(n)!) - value(before.usage.get(n)!))
    );
  const cpu = rates(({ cpuMs }) => cpuMs);
  const bytes = rates(({ ioBytes }) => ioBytes);
  const rss = names.map((n) => after.usage.get(n)!.rssMb);
  return [
    { name: `${role}.cpu`, value: mean(cpu), unit: "ms/s" },
    {
      name: `${role}.cpu.max`,
      value: Math.max(...cpu),
      unit: "ms/s",
      bound: MAX_CPU_MS,
      machineBound: true,
    },
    {
      name: `${role}.rss.max`,
      value: Math.max(...rss),
      unit: "MB",
      bound: MAX_RSS_MB,
      machineBound: true,
    },
    { name: `${role}.bytes`, value: mean(bytes), unit: "B/s in and out" },
    {
      name: `${role}.bytes.max`,
      value: Math.max(...bytes),
      unit: "B/s in and out",
      bound: isBounded ? MAX_BYTES : undefined,
    },
  ];
}

function perSecond(value: number): number {
  return value * MS_PER_SECOND / MEASURED_MS;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

registerBenchmark(new IdleBenchmark());
