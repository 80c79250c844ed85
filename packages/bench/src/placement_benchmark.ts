import {
  BestFitPolicy,
  FirstFitPolicy,
  IndexedFitPolicy,
  type PlacementPolicy,
  RandomFitPolicy,
} from "@mustardweir/placement";
import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import { BoundKind, type Metric } from "./metric.ts";
import {
  type PlacementTrialResult,
  runPlacementTrial,
} from "./placement_trial.ts";

const FLEET_SIZES = [34, 340, 3400, 23_000];
/** From this size on, placement must cost at most a tenth of a full scan. */
const BOUNDED_COST_FROM = 3400;
/** From this size on, the indexed policy does the warm-up of all policies. */
const SHARED_WARM_UP_FROM = 23_000;
const SHARED_MEASURED_PER_INSTANCE = 0.5;
/** Long enough for services to start and end. */
const WARM_UP_PER_INSTANCE = 60;
const MEASURED_PER_INSTANCE = 20;
/** Small fleets are offered at least this many tasks. */
const MIN_MEASURED_TASKS = 50_000;

const MIN_PACKING_RATIO = 0.95;
const MAX_COST_RATIO = 0.1;
const MAX_P99_US = 5000;
const MAX_COST_GROWTH = 3;

/** Cost and packing of the placement policies at several fleet sizes. */
export class PlacementBenchmark extends Benchmark {
  override readonly name = "placement";

  override run(options: BenchmarkOptions): Metric[] {
    const costs = new Map<number, number>();
    const metrics = FLEET_SIZES.flatMap((instances) => {
      const runWith = (policy: PlacementPolicy) =>
        runTrial(policy, { instances, seed: options.seed });
      const fullScan = runWith(new BestFitPolicy());
      const indexed = runWith(new IndexedFitPolicy());
      costs.set(instances, indexed.costUs);
      return [
        ...createComparisonMetrics(instances, indexed, fullScan),
        ...createBaselineMetrics(instances, "best-fit", fullScan),
        ...[new FirstFitPolicy(), new RandomFitPolicy()].flatMap((policy) =>
          createBaselineMetrics(instances, policy.name, runWith(policy))
        ),
      ];
    });
    return [...metrics, computeCostGrowth(costs)];
  }
}

function runTrial(
  policy: PlacementPolicy,
  options: { instances: number; seed: number },
): PlacementTrialResult {
  const { instances } = options;
  const shared = instances >= SHARED_WARM_UP_FROM;
  return runPlacementTrial({
    ...options,
    policy,
    warmUpPolicy: shared ? new IndexedFitPolicy() : policy,
    warmUpPerInstance: WARM_UP_PER_INSTANCE,
    measuredPerInstance: shared
      ? SHARED_MEASURED_PER_INSTANCE
      : Math.max(MEASURED_PER_INSTANCE, MIN_MEASURED_TASKS / instances),
  });
}

function createComparisonMetrics(
  instances: number,
  indexed: PlacementTrialResult,
  fullScan: PlacementTrialResult,
): Metric[] {
  return [
    {
      name: `${instances}.packing-ratio`,
      value: indexed.packed / fullScan.packed,
      unit: "of full scan",
      bound: MIN_PACKING_RATIO,
      boundKind: BoundKind.AtLeast,
    },
    {
      name: `${instances}.accelerated-packing-ratio`,
      value: indexed.acceleratedPacked / fullScan.acceleratedPacked,
      unit: "of full scan",
      bound: MIN_PACKING_RATIO,
      boundKind: BoundKind.AtLeast,
    },
    {
      name: `${instances}.cost-ratio`,
      value: indexed.costUs / fullScan.costUs,
      unit: "of full scan",
      bound: instances >= BOUNDED_COST_FROM ? MAX_COST_RATIO : undefined,
      machineBound: true,
    },
    {
      name: `${instances}.cost`,
      value: indexed.costUs,
      unit: "us",
      baseline: fullScan.costUs,
    },
    {
      name: `${instances}.p99`,
      value: indexed.p99Us,
      unit: "us",
      bound: MAX_P99_US,
      baseline: fullScan.p99Us,
      machineBound: true,
    },
    {
      name: `${instances}.packed`,
      value: indexed.packed,
      unit: "of offered work",
      baseline: fullScan.packed,
    },
    {
      name: `${instances}.cpu-use`,
      value: indexed.cpuUse,
      unit: "of capacity",
      baseline: fullScan.cpuUse,
    },
  ];
}

function createBaselineMetrics(
  instances: number,
  name: string,
  result: PlacementTrialResult,
): Metric[] {
  return [
    {
      name: `${instances}.${name}.packed`,
      value: result.packed,
      unit: "of offered work",
    },
    {
      name: `${instances}.${name}.accelerated-packed`,
      value: result.acceleratedPacked,
      unit: "of offered work",
    },
    { name: `${instances}.${name}.cost`, value: result.costUs, unit: "us" },
  ];
}

function computeCostGrowth(costs: ReadonlyMap<number, number>): Metric {
  return {
    name: "cost-growth-340-to-23000",
    value: costs.get(23_000)! / costs.get(340)!,
    unit: "times",
    bound: MAX_COST_GROWTH,
    machineBound: true,
  };
}

registerBenchmark(new PlacementBenchmark());
