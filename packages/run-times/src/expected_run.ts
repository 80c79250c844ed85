import type { Update } from "@mustardweir/kernel";
import { RUN_ESTIMATOR } from "./run_estimator.ts";
import type { EstimatedTask, ExpectedRun } from "./run_estimator.ts";

/**
 * Returns how long a task of the queue is expected to run. The result is linear
 * in the estimate, so the sum of several tasks' estimates may be passed at once.
 * Throws if the run-times plug-in isn't registered.
 *
 * @example
 * ```ts
 * const { upperMs } = expectedRun(update, { queue: "alerts", estimateMs: 900 });
 * ```
 */
export function expectedRun(update: Update, task: EstimatedTask): ExpectedRun {
  return update.service(RUN_ESTIMATOR).expect(update, task);
}
