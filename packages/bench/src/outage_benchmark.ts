import {
  OUTAGE_MS,
  type OutageResult,
  runOutageTrial,
  TableOutageRule,
} from "@mustardweir/prove";
import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import { BoundKind, type Metric } from "./metric.ts";

/** Number of tasks of the batch that runs during the outage. */
const BATCH_TASKS = 4;

/** Fraction of the work that must continue during the outage. */
const MIN_WORK_FRACTION = 0.9;

/** Work done during an outage of the table, compared with failing closed. */
export class OutageBenchmark extends Benchmark {
  override readonly name = "outage";

  override run({ seed }: BenchmarkOptions): Metric[] {
    return [false, true].flatMap((killsOwner) => {
      const measure = (rule: TableOutageRule) =>
        runOutageTrial({ seed, rule, killsOwner });
      return createOutageMetrics(killsOwner ? "owner-killed" : "undisturbed", {
        value: measure(TableOutageRule.Majority),
        baseline: measure(TableOutageRule.FailClosed),
      });
    });
  }
}

interface Comparison {
  readonly value: OutageResult;
  /** The same outage with nodes that fail closed. */
  readonly baseline: OutageResult;
}

function createOutageMetrics(
  name: string,
  { value, baseline }: Comparison,
): Metric[] {
  const bound = { bound: MIN_WORK_FRACTION, boundKind: BoundKind.AtLeast };
  return [
    {
      name: `${name}.requests-done`,
      value: value.done / value.requests,
      unit: "of those submitted",
      baseline: baseline.done / baseline.requests,
      ...bound,
    },
    {
      name: `${name}.batch-time`,
      value: value.batchMs / (BATCH_TASKS * OUTAGE_MS),
      unit: "of the outage",
      baseline: baseline.batchMs / (BATCH_TASKS * OUTAGE_MS),
      ...bound,
    },
    {
      name: `${name}.doubled`,
      value: value.overlappingRuns,
      unit: "tasks",
      baseline: baseline.overlappingRuns,
      bound: 0,
    },
  ];
}

registerBenchmark(new OutageBenchmark());
