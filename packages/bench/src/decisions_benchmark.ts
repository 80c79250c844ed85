import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import { runRebalanceTrial } from "./decisions/rebalance_trial.ts";
import type { Metric } from "./metric.ts";

/** What homes and slices decide when room is short, over real kernels. */
export class DecisionsBenchmark extends Benchmark {
  override readonly name = "decisions";

  override run({ seed }: BenchmarkOptions): Metric[] {
    return [...measureRebalance(seed)];
  }
}

function measureRebalance(seed: number): Metric[] {
  const waits = runRebalanceTrial(seed);
  const value = Math.max(...waits);
  return [{ name: "room-elsewhere.wait.max", value, unit: "ms", bound: 2_200 }];
}

registerBenchmark(new DecisionsBenchmark());
