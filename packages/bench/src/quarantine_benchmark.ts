import {
  ConsecutiveFailuresDetector,
  type FaultDetector,
  LIKELIHOOD_THRESHOLD,
  LikelihoodDetector,
  MovingAverageDetector,
} from "@mustardweir/quarantine";
import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import type { Metric } from "./metric.ts";
import {
  detectionDelays,
  type QuarantineTrialResult,
  runQuarantineTrial,
} from "./quarantine_trial.ts";

/** Number of slices in the trial, each with its own detector. */
const FLEETS = 20;
const GOOD_PER_FLEET = 500;
const BAD_PER_FLEET = 4;
const TASKS_PER_INSTANCE = 500;
/** A threshold that no statistic reaches. */
const UNREACHABLE = 1e9;

/** Relative difference that raises a threshold just above a statistic. */
const RELATIVE_STEP = 1e-6;

const MAX_FAILED_TASKS = 10;
const MAX_FALSE_ALARMS = 0.001;

type CreateDetector = (threshold: number) => FaultDetector;

const BASELINES: readonly CreateDetector[] = [
  (threshold) => new ConsecutiveFailuresDetector({ threshold }),
  (threshold) => new MovingAverageDetector({ threshold }),
];

/** Tasks failed by a bad instance before its quarantine, and false alarms. */
export class QuarantineBenchmark extends Benchmark {
  override readonly name = "quarantine";

  override run(options: BenchmarkOptions): Metric[] {
    const createDefault: CreateDetector = (threshold) =>
      new LikelihoodDetector({ threshold });
    const defaultResult = runFleets(createDefault, options.seed);
    const delays = detectionDelays(defaultResult, LIKELIHOOD_THRESHOLD);
    const falseAlarms = defaultResult.goodPeaks.filter((p) =>
      p >= LIKELIHOOD_THRESHOLD
    );
    return [
      {
        name: "failed-tasks.worst",
        value: Math.max(...delays),
        unit: "tasks",
        bound: MAX_FAILED_TASKS,
      },
      { name: "failed-tasks.mean", value: mean(delays), unit: "tasks" },
      {
        name: "good-instances-out",
        value: falseAlarms.length / defaultResult.goodPeaks.length,
        unit: "of good",
        bound: MAX_FALSE_ALARMS,
      },
      ...[createDefault, ...BASELINES].map((create) =>
        delayAtEqualAlarms(create, options.seed)
      ),
    ];
  }
}

/** Mean delay at the threshold that quarantines 1 in 1,000 good instances. */
function delayAtEqualAlarms(create: CreateDetector, seed: number): Metric {
  const result = runFleets(create, seed);
  const allowed = Math.floor(result.goodPeaks.length * MAX_FALSE_ALARMS);
  const threshold = result.goodPeaks[allowed]! * (1 + RELATIVE_STEP);
  return {
    name: `at-equal-false-alarms.${create(UNREACHABLE).name}.failed-tasks`,
    value: mean(detectionDelays(result, threshold)),
    unit: "tasks",
  };
}

function runFleets(
  create: CreateDetector,
  seed: number,
): QuarantineTrialResult {
  const results = Array.from(
    { length: FLEETS },
    (_, fleet) =>
      runQuarantineTrial({
        detector: create(UNREACHABLE),
        threshold: UNREACHABLE,
        good: GOOD_PER_FLEET,
        bad: BAD_PER_FLEET,
        tasksPerInstance: TASKS_PER_INSTANCE,
        seed: seed + fleet,
      }),
  );
  return {
    goodPeaks: results.flatMap(({ goodPeaks }) => goodPeaks)
      .sort((a, b) => b - a),
    badSeries: results.flatMap(({ badSeries }) => badSeries),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

registerBenchmark(new QuarantineBenchmark());
