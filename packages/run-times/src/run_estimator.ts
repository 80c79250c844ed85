import { createServiceKey, type Update } from "@mustardweir/kernel";
import { RUN_TIMES } from "./run_times.ts";

/** How long a task is expected to run on a worker of average speed. */
export interface ExpectedRun {
  /** Mean run time, in milliseconds. */
  readonly meanMs: number;
  /** Upper quantile of the run time, in milliseconds; at least the mean. */
  readonly upperMs: number;
  /** Number of runs that the figures follow from; 0 for the caller's estimate. */
  readonly samples: number;
}

/** A task whose run time is estimated. */
export interface EstimatedTask {
  /** Name of the task's queue. */
  readonly queue: string;
  /** The caller's estimate, in milliseconds. */
  readonly estimateMs: number;
}

/** Estimates run times. */
export abstract class RunEstimator {
  /** Returns how long the task is expected to run. */
  abstract expect(update: Update, task: EstimatedTask): ExpectedRun;
}

/** Uses the caller's estimate as it is; the baseline. */
export class CallerEstimator extends RunEstimator {
  override expect(_update: Update, { estimateMs }: EstimatedTask): ExpectedRun {
    return { meanMs: estimateMs, upperMs: estimateMs, samples: 0 };
  }
}

/**
 * Multiplies the caller's estimate by the factors learned for the queue; uses
 * the baseline for queues of which too little is known.
 */
export class LearnedEstimator extends RunEstimator {
  readonly #baseline: RunEstimator;

  constructor(baseline: RunEstimator) {
    super();
    this.#baseline = baseline;
  }

  override expect(update: Update, task: EstimatedTask): ExpectedRun {
    const factors = update.read(RUN_TIMES).factorsOf(task.queue);
    return factors === undefined ? this.#baseline.expect(update, task) : {
      meanMs: task.estimateMs * factors.mean,
      upperMs: task.estimateMs * factors.upper,
      samples: factors.samples,
    };
  }
}

/** The estimator in use. */
export const RUN_ESTIMATOR = createServiceKey<RunEstimator>("run-estimator");
