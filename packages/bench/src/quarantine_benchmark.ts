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

/** Slices in the trial, each with a detector of its own. */
const FLEETS = 20;
const GOOD_PER_FLEET = 500;
const BAD_PER_FLEET = 4;
const TASKS_PER_INSTANCE = 500;
/** A threshold that no statistic reaches. */
const UNREACHABLE = 1e9;

/** Puts a threshold just above a statistic. */
const RELATIVE_STEP = 1e-6;

const MAX_FAILED_TASKS = 10;
const MAX_FALSE_ALARMS = 0.001;

type CreateDetector = (threshold: number) => FaultDetector;

const BASELINES: readonly CreateDetector[] = [
  (threshold) => new ConsecutiveFailuresDetector({ threshold }),
  (threshold) => new MovingAverageDetector({ threshold }),
];

/** Tasks that a bad instance fails before it is out, at what false alarms. */
export class QuarantineBenchmark extends Benchmark {
  override readonly name = "quarantine";

  override run(options: BenchmarkOptions): Metric[] {
    const createDefault: CreateDetector = (threshold) =>
      new LikelihoodDetector({ threshold });
    const product = runFleets(createDefault, options.seed);
    const delays = detectionDelays(product, LIKELIHOOD_THRESHOLD);
    const alarms = product.goodPeaks.filter((p) => p >= LIKELIHOOD_THRESHOLD);
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
        value: alarms.length / product.goodPeaks.length,
        unit: "of good",
        bound: MAX_FALSE_ALARMS,
      },
      ...[createDefault, ...BASELINES].map((create) =>
        delayAtEqualAlarms(create, options.seed)
      ),
    ];
  }
}

/** Mean delay at the threshold that leaves one good instance in 1,000 out. */
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
