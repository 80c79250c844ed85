import { JobKind, type JobSpec } from "@mustardweir/model";
import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import { createFleetConfiguration } from "./loopback/fleet.ts";
import { Loopback } from "./loopback/loopback.ts";
import { BoundKind, type Metric } from "./metric.ts";

/** Time until homes and slices are active, in milliseconds. */
const WARM_UP_MS = 20_000;

/** Length of a round in virtual time, in milliseconds. */
const ROUND_MS = 10;
const ROUNDS = 300;

/** Requests per round: 3,000 a second of virtual time. */
const JOBS_PER_ROUND = 30;

const TEAMS = { storefront: 3, imaging: 2, ledger: 1 };

/** Load on a scheduler in addition to the requests. */
interface Load {
  readonly name: string;
  /** Number of instances in each of the three zones. */
  readonly instances: number;
  /** Number of service tasks that run all the time, per team. */
  readonly services: number;
  /** Number of batch tasks in the backlog, per team. */
  readonly backlog: number;
}

const LOADS: readonly Load[] = [
  { name: "idle", instances: 20, services: 0, backlog: 0 },
  { name: "services", instances: 500, services: 3_000, backlog: 0 },
  { name: "backlog", instances: 100, services: 500, backlog: 5_000 },
];

const MIN_PLACEMENTS = 3_000;
const MAX_P99_MS = 5;

/** Placements per second of processor time of one scheduler kernel. */
export class ThroughputBenchmark extends Benchmark {
  override readonly name = "throughput";

  override run(options: BenchmarkOptions): Metric[] {
    return LOADS.flatMap((load) => measure(load, options));
  }
}

function measure(load: Load, { seed }: BenchmarkOptions): Metric[] {
  const spent: number[] = [];
  let isMeasured = false;
  const configuration = createFleetConfiguration({
    shares: TEAMS,
    instances: load.instances,
  });
  const loopback = new Loopback({
    configuration,
    seed,
    onEvent: (ms) => {
      if (isMeasured) {
        spent.push(ms);
      }
    },
  });
  loopback.run(WARM_UP_MS);
  const teams = Object.keys(TEAMS);
  for (const team of teams) {
    if (load.services > 0) {
      loopback.submit(team, service(load.services));
    }
    if (load.backlog > 0) {
      loopback.submit(team, backlog(load.backlog));
    }
  }
  loopback.run(WARM_UP_MS);
  const before = loopback.counter("tasks_started");
  isMeasured = true;
  for (let round = 0; round < ROUNDS; round++) {
    for (let index = 0; index < JOBS_PER_ROUND; index++) {
      const team = teams[index % teams.length]!;
      loopback.submit(team, request(round * JOBS_PER_ROUND + index));
    }
    loopback.run(ROUND_MS);
  }
  isMeasured = false;
  return createMetrics(load, loopback.counter("tasks_started") - before, spent);
}

function createMetrics(
  { name }: Load,
  started: number,
  spent: readonly number[],
): Metric[] {
  const totalMs = spent.reduce((sum, ms) => sum + ms, 0);
  const sorted = [...spent].sort((a, b) => a - b);
  return [
    { name: `${name}.started`, value: started, unit: "tasks" },
    {
      name: `${name}.placements`,
      value: started / (totalMs / 1_000),
      unit: "per second of processor time",
      bound: MIN_PLACEMENTS,
      boundKind: BoundKind.AtLeast,
      machineBound: true,
    },
    {
      name: `${name}.event.p99`,
      value: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
      unit: "ms",
      bound: MAX_P99_MS,
      machineBound: true,
    },
    { name: `${name}.event.max`, value: sorted.at(-1) ?? 0, unit: "ms" },
  ];
}

function request(index: number): Partial<JobSpec> {
  return {
    kind: JobKind.Request,
    cpu: 0.5,
    memoryMb: 256,
    payload: JSON.stringify({ runMs: 20 + index % 60 }),
  };
}

function service(tasks: number): Partial<JobSpec> {
  return { kind: JobKind.Service, cpu: 0.25, memoryMb: 128, tasks };
}

/** Batch tasks that fill instances and still leave room for requests. */
function backlog(tasks: number): Partial<JobSpec> {
  return {
    kind: JobKind.Batch,
    cpu: 10,
    memoryMb: 128,
    tasks,
    payload: JSON.stringify({ runMs: 300_000 }),
  };
}

registerBenchmark(new ThroughputBenchmark());
