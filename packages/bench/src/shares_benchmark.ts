import { DominantShareOrder, FifoOrder } from "@mustardweir/fairness";
import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import type { Metric } from "./metric.ts";
import { runSharesTrial } from "./shares_trial.ts";

interface SharesCase {
  readonly instances: number;
  readonly teams: number;
  /** Ends of tasks per instance while measuring. */
  readonly measuredPerInstance: number;
}

const CASES: readonly SharesCase[] = [
  { instances: 34, teams: 6, measuredPerInstance: 600 },
  { instances: 340, teams: 6, measuredPerInstance: 200 },
  { instances: 1700, teams: 6, measuredPerInstance: 40 },
];

/**
 * From this size on a share holds many tasks, so that the deviation is bounded
 * relative to the share and not only to the fleet.
 */
const RELATIVE_BOUND_FROM = 1700;
const MAX_ERROR = 0.02;

/** Deviation of teams from their shares on a full fleet. */
export class SharesBenchmark extends Benchmark {
  override readonly name = "shares";

  override run(options: BenchmarkOptions): Metric[] {
    return CASES.flatMap((sharesCase) => runCase(sharesCase, options));
  }
}

function runCase(sharesCase: SharesCase, options: BenchmarkOptions): Metric[] {
  const { instances } = sharesCase;
  const trial = { ...sharesCase, seed: options.seed };
  const order = new DominantShareOrder();
  const shares = runSharesTrial({ ...trial, order });
  const withoutHold = runSharesTrial({
    ...trial,
    order: new DominantShareOrder({ maxHoldMs: 0 }),
  });
  const fifo = runSharesTrial({ ...trial, order: new FifoOrder() });
  return [
    {
      name: `${instances}.worst-team-of-fleet`,
      value: shares.worstFleetError,
      unit: "of fleet",
      bound: MAX_ERROR,
      baseline: fifo.worstFleetError,
    },
    {
      name: `${instances}.worst-team-of-share`,
      value: shares.worstError,
      unit: "of share",
      bound: instances >= RELATIVE_BOUND_FROM ? MAX_ERROR : undefined,
      baseline: fifo.worstError,
    },
    {
      name: `${instances}.without-hold.worst-team-of-share`,
      value: withoutHold.worstError,
      unit: "of share",
      baseline: fifo.worstError,
    },
    {
      name: `${instances}.cpu-use`,
      value: shares.cpuUse,
      unit: "of capacity",
      baseline: fifo.cpuUse,
    },
    {
      name: `${instances}.without-hold.cpu-use`,
      value: withoutHold.cpuUse,
      unit: "of capacity",
      baseline: fifo.cpuUse,
    },
  ];
}

registerBenchmark(new SharesBenchmark());
