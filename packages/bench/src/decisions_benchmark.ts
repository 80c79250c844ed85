import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import { runDrainTrial } from "./decisions/drain_trial.ts";
import { type GangTrialOptions, runGangTrial } from "./decisions/gang_trial.ts";
import { runOverloadTrial } from "./decisions/overload_trial.ts";
import { runRebalanceTrial } from "./decisions/rebalance_trial.ts";
import { runSharingTrial } from "./decisions/sharing_trial.ts";
import { runSpreadTrial } from "./decisions/spread_trial.ts";
import { runUrgentTrial } from "./decisions/urgent_trial.ts";
import { BoundKind, type Metric } from "./metric.ts";

interface GangLoad {
  readonly name: string;
  readonly options: Omit<GangTrialOptions, "seed">;
}

/** Gangs of 16 accelerators on a fleet of 96 that small tasks keep full. */
const GANG_LOADS: readonly GangLoad[] = [
  { name: "gang", options: {} },
  { name: "gang-of-instances", options: { memberSize: 8 } },
  { name: "gang-own-load", options: { memberSize: 8, isOwnLoad: true } },
  { name: "six-gangs", options: { gangs: 6 } },
  { name: "six-gangs-of-instances", options: { gangs: 6, memberSize: 8 } },
];

/** Decisions of homes and slices on a full fleet, with real kernels. */
export class DecisionsBenchmark extends Benchmark {
  override readonly name = "decisions";

  override run({ seed }: BenchmarkOptions): Metric[] {
    return [
      ...measureRebalance(seed),
      ...measureUrgent(seed),
      ...measureSharing(seed),
      ...measureSpread(seed),
      ...measureDrain(seed),
      ...measureOverload(seed),
      ...GANG_LOADS.flatMap((load) => measureGangs(seed, load)),
    ];
  }
}

function measureRebalance(seed: number): Metric[] {
  const waits = runRebalanceTrial(seed);
  const value = Math.max(...waits);
  return [{ name: "room-elsewhere.wait.max", value, unit: "ms", bound: 2_200 }];
}

function measureUrgent(seed: number): Metric[] {
  const { waits, preempted } = runUrgentTrial(seed);
  const value = Math.max(...waits);
  return [
    { name: "urgent.wait.max", value, unit: "ms", bound: 2_200 },
    { name: "urgent.preempted", value: preempted, unit: "tasks" },
  ];
}

function measureSharing(seed: number): Metric[] {
  const result = runSharingTrial({ seed });
  return [
    {
      name: "shares.error",
      value: result.errors.at(-1) ?? Infinity,
      unit: "of fleet",
      bound: 0.02,
    },
    { name: "shares.converged", value: result.convergedMs, unit: "ms" },
    { name: "shares.preempted", value: result.preempted, unit: "tasks" },
    {
      name: "shares.preempted-late",
      value: result.preemptedLate,
      unit: "tasks",
    },
    {
      name: "shares.lent",
      value: result.lent,
      unit: "of fleet",
      bound: 0.95,
      boundKind: BoundKind.AtLeast,
    },
    { name: "shares.used.min", value: result.minUsed, unit: "of fleet" },
  ];
}

function measureSpread(seed: number): Metric[] {
  const { inRack, inZone } = runSpreadTrial(seed);
  return [
    { name: "spread.in-one-rack", value: inRack, unit: "of 15", bound: 1 },
    { name: "spread.in-one-zone", value: inZone, unit: "of 15", bound: 5 },
  ];
}

function measureDrain(seed: number): Metric[] {
  const result = runDrainTrial(seed);
  return [
    {
      name: "drain.used.min",
      value: result.minUsedDraining,
      unit: "of open zones",
      bound: 0.9,
      boundKind: BoundKind.AtLeast,
    },
    { name: "drain.emptied", value: result.emptiedMs, unit: "ms" },
    { name: "drain.stopped", value: result.stopped, unit: "tasks" },
    {
      name: "return.used.mean",
      value: result.meanUsedReturned,
      unit: "of fleet",
      bound: 0.9,
      boundKind: BoundKind.AtLeast,
    },
    { name: "return.filled", value: result.filledMs, unit: "ms" },
    { name: "return.asks-moved", value: result.moved, unit: "asks" },
  ];
}

function measureOverload(seed: number): Metric[] {
  const result = runOverloadTrial(seed);
  return [
    { name: "overload.goodput", value: result.goodput, unit: "of capacity" },
    { name: "overload.refused", value: result.refused, unit: "of requests" },
    { name: "overload.expired", value: result.expired, unit: "of requests" },
  ];
}

function measureGangs(seed: number, { name, options }: GangLoad): Metric[] {
  const { waits, used } = runGangTrial({ seed, ...options });
  const value = Math.max(...waits);
  return [
    { name: `${name}.wait.max`, value, unit: "ms" },
    { name: `${name}.used`, value: used, unit: "of accelerators" },
  ];
}

registerBenchmark(new DecisionsBenchmark());
