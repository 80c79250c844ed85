import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import { BoundKind, type Metric } from "./metric.ts";
import {
  type FleetTrialOptions,
  type FleetTrialResult,
  runFleetTrial,
} from "./scaling/fleet_trial.ts";

interface ScalingCase extends Omit<FleetTrialOptions, "seed"> {
  readonly name: string;
  /** Whether today's bounds of a node's traffic apply to the fleet. */
  readonly isBounded: boolean;
}

const CASES: readonly ScalingCase[] = [
  {
    name: "34",
    instances: 34,
    regions: 1,
    zones: 3,
    teams: 6,
    schedulers: 6,
    runningTasks: 300,
    startsPerSecond: 3_000,
    isBounded: true,
  },
  {
    name: "340",
    instances: 340,
    regions: 1,
    zones: 3,
    teams: 6,
    schedulers: 6,
    runningTasks: 3_000,
    startsPerSecond: 3_000,
    isBounded: false,
  },
  {
    name: "2300-180-teams",
    instances: 2_300,
    regions: 1,
    zones: 3,
    teams: 180,
    schedulers: 6,
    runningTasks: 20_000,
    startsPerSecond: 3_000,
    isBounded: false,
  },
  {
    name: "3400",
    instances: 3_400,
    regions: 1,
    zones: 3,
    teams: 6,
    schedulers: 6,
    runningTasks: 30_000,
    startsPerSecond: 3_000,
    isBounded: false,
  },
  {
    name: "23000-180-teams",
    instances: 23_000,
    regions: 10,
    zones: 21,
    teams: 180,
    schedulers: 60,
    runningTasks: 200_000,
    startsPerSecond: 17_000,
    isBounded: false,
  },
];

/** Processor time budget of one node, in milliseconds a second. */
const MAX_CPU_MS = 41;
const MAX_BYTES = 26_000;
const MAX_HEAP_MB = 128;

/** In milliseconds; after a longer recovery urgent work starts too late. */
const MAX_RECOVERY_MS = 4_000;

/**
 * Cost of a scheduler kernel at several fleet sizes. Bytes are those of message
 * bodies as JSON, without headers and acknowledgements.
 */
export class ScalingBenchmark extends Benchmark {
  override readonly name = "scaling";

  override run({ seed }: BenchmarkOptions): Metric[] {
    return CASES.flatMap((scalingCase) =>
      createMetrics(scalingCase, runFleetTrial({ ...scalingCase, seed }))
    );
  }
}

function createMetrics(
  { name, isBounded, runningTasks, startsPerSecond }: ScalingCase,
  result: FleetTrialResult,
): Metric[] {
  const { idleTraffic, loadedTraffic } = result;
  const metrics: Metric[] = [
    {
      name: "running",
      value: result.running,
      unit: "tasks",
      bound: runningTasks,
      boundKind: BoundKind.AtLeast,
    },
    { name: "heap", value: result.heapMb, unit: "MB", bound: MAX_HEAP_MB },
    {
      name: "idle.cpu",
      value: result.idleMs,
      unit: "ms/s",
      bound: MAX_CPU_MS,
      machineBound: true,
    },
    { name: "loaded.cpu", value: result.loadedMs, unit: "ms/s" },
    {
      name: "loaded.longest-event",
      value: result.longestEventMs,
      unit: "ms",
    },
    {
      name: "idle.sent",
      value: idleTraffic.heartbeatBytes + idleTraffic.peerBytes +
        idleTraffic.workerCallBytes,
      unit: "B/s",
      bound: isBounded ? MAX_BYTES : undefined,
    },
    {
      name: "idle.heartbeats",
      value: idleTraffic.heartbeatBytes,
      unit: "B/s",
      bound: isBounded ? MAX_BYTES : undefined,
    },
    {
      name: "loaded.heartbeats",
      value: loadedTraffic.heartbeatBytes,
      unit: "B/s",
    },
    { name: "worker-calls", value: loadedTraffic.workerCalls, unit: "1/s" },
    {
      name: "loaded.worker-calls",
      value: loadedTraffic.workerCallBytes,
      unit: "B/s",
    },
    {
      name: "idle.worker-answers",
      value: idleTraffic.workerReplyBytes,
      unit: "B/s",
    },
    {
      name: "loaded.worker-answers",
      value: loadedTraffic.workerReplyBytes,
      unit: "B/s",
    },
    { name: "table-reads", value: loadedTraffic.tableReads, unit: "1/s" },
    { name: "placement", value: result.placementUs, unit: "us" },
    {
      name: "placements",
      value: result.placements,
      unit: "tasks",
      bound: startsPerSecond,
      boundKind: BoundKind.AtLeast,
    },
    {
      name: "recovery",
      value: result.recoveryMs,
      unit: "ms",
      bound: MAX_RECOVERY_MS,
    },
    {
      name: "placement.messages",
      value: result.messagesPerPlacement,
      unit: "messages",
    },
    {
      name: "placement.bytes",
      value: result.bytesPerPlacement,
      unit: "B",
    },
    {
      name: "placement.worker-calls",
      value: result.workerCallsPerPlacement,
      unit: "calls",
    },
    {
      name: "recovery.longest-event",
      value: result.recoveryEventMs,
      unit: "ms",
    },
    { name: "recovery.cpu", value: result.recoveryCpuMs, unit: "ms" },
  ];
  return metrics.map((metric) => ({
    ...metric,
    name: `${name}.${metric.name}`,
  }));
}

registerBenchmark(new ScalingBenchmark());
