import type { Update } from "@mustardweir/kernel";

/** How long a task is expected to run on a worker of average speed. */
export interface ExpectedRun {
  /** Mean run time, in milliseconds. */
  readonly meanMs: number;
  /** Upper quantile of the run time, in milliseconds. */
  readonly upperMs: number;
  /** Number of runs that the figures follow from; 0 for the caller's estimate. */
  readonly samples: number;
}

/**
 * Returns how long a task of the queue is expected to run.
 *
 * @example
 * ```ts
 * const { upperMs } = expectedRun(update, { queue: "alerts", estimateMs: 900 });
 * ```
 */
export function expectedRun(
  _update: Update,
  { estimateMs }: {
    /** Name of the task's queue. */
    readonly queue: string;
    /** The caller's estimate, in milliseconds. */
    readonly estimateMs: number;
  },
): ExpectedRun {
  return { meanMs: estimateMs, upperMs: estimateMs, samples: 0 };
}
