import { setTimeout as delay } from "node:timers/promises";
import { Cluster, type Fleet, FleetName, readFleet } from "@mustardweir/demo";
import { request } from "undici";
import { Benchmark, registerBenchmark } from "./benchmark.ts";
import type { Metric } from "./metric.ts";
import { configureCluster } from "./scaling/configure_cluster.ts";
import { type ProcessUsage, readUsage } from "./scaling/process_usage.ts";
import { createRegionFleet } from "./scaling/region_fleet.ts";

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
const LARGE_FLEET = 340;

/** What idle processes of one user spend; six entries, six schedulers. */
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
  const { inventory, rules } = createRegionFleet({
    instances: LARGE_FLEET,
    regions: 1,
    zones: 3,
    teams: 6,
  });
  const large = { name: FleetName.LoneStar, inventory, rules };
  const today = readFleet(FleetName.LoneStar);
  return [
    { name: "today", fleet: today, isBounded: true },
    { name: `${LARGE_FLEET}`, fleet: large, isBounded: false },
  ];
}

async function measure(
  { name, fleet, isBounded }: IdleCase,
): Promise<Metric[]> {
  const cluster = new Cluster({ fleet });
  try {
    await cluster.start();
    await configureCluster(cluster, fleet);
    await delay(SETTLE_MS);
    const before = await takeSample(cluster);
    await delay(MEASURED_MS);
    const after = await takeSample(cluster);
    const metrics = [
      ...describeRole("entry", { before, after, isBounded }),
      ...describeRole("scheduler", { before, after, isBounded }),
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
    await cluster.stop();
  }
}

interface Sample {
  readonly usage: ReadonlyMap<string, ProcessUsage>;
  readonly reads: number;
  readonly writes: number;
}

async function takeSample(cluster: Cluster): Promise<Sample> {
  const res = await request(`${cluster.platform}/v1/stats`);
  const stats = await res.body.json() as { reads: number; writes: number };
  const names = [
    ...cluster.schedulers.map(({ nodeId }) => nodeId),
    ...cluster.entries.map((_, index) => `entry-${index + 1}`),
  ];
  const usage = names.map((name) =>
    [name, readUsage(cluster.child(name).pid ?? 0)] as const
  );
  return { usage: new Map(usage), reads: stats.reads, writes: stats.writes };
}

interface Samples {
  readonly before: Sample;
  readonly after: Sample;
  readonly isBounded: boolean;
}

/** The mean and the most of the processes of a role. */
function describeRole(
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
