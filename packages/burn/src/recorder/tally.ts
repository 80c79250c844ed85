import { EndReason, Outcome } from "@mustardweir/model";
import type { WorkCounts } from "@mustardweir/protocol";
import { WaitCounts } from "./wait_counts.ts";

type CountName = keyof WorkCounts;

/** Counts that are all zero. */
export const ZERO_COUNTS: WorkCounts = {
  accepted: 0,
  completed: 0,
  failed: 0,
  notRun: 0,
  cancelled: 0,
  unknown: 0,
  unmeasured: 0,
};

/** Counts and waits of one interval. */
export class Tally {
  readonly waits = new WaitCounts();
  #counts = ZERO_COUNTS;

  get counts(): WorkCounts {
    return this.#counts;
  }

  /** Increments a count by 1. */
  count(countName: CountName): void {
    this.#counts = {
      ...this.#counts,
      [countName]: this.#counts[countName] + 1,
    };
  }
}

/**
 * Returns the sums of two sets of counts.
 *
 * @example
 * ```ts
 * const total = tallies.map(({ counts }) => counts)
 *   .reduce(addCounts, ZERO_COUNTS);
 * ```
 */
export function addCounts(a: WorkCounts, b: WorkCounts): WorkCounts {
  const names = Object.keys(ZERO_COUNTS) as CountName[];
  const sums = names.map((countName) =>
    [countName, a[countName] + b[countName]] as const
  );
  return Object.fromEntries(sums) as unknown as WorkCounts;
}

/**
 * Returns the name of the count to which the end of a job belongs.
 *
 * @example
 * ```ts
 * tally.count(classifyEnd(outcome, reason));
 * ```
 */
export function classifyEnd(outcome: Outcome, reason: EndReason): CountName {
  if (outcome === Outcome.Unknown) {
    return "unknown";
  }
  if (reason === EndReason.Cancelled) {
    return "cancelled";
  }
  if (outcome === Outcome.NotRun) {
    return "notRun";
  }
  return reason === EndReason.Completed ? "completed" : "failed";
}
