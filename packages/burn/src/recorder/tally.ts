import { EndReason, Outcome } from "@mustardweir/model";
import type { WorkCounts } from "@mustardweir/protocol";
import { WaitCounts } from "./wait_counts.ts";

type Counted = keyof WorkCounts;

/** Zero of everything. */
export const NO_WORK: WorkCounts = {
  accepted: 0,
  completed: 0,
  failed: 0,
  notRun: 0,
  cancelled: 0,
  unknown: 0,
  unmeasured: 0,
};

/** Counts and waits of one part of time. */
export class Tally {
  readonly waits = new WaitCounts();
  #counts = NO_WORK;

  /** What was counted. */
  get counts(): WorkCounts {
    return this.#counts;
  }

  /** Adds one to a count. */
  count(what: Counted): void {
    this.#counts = { ...this.#counts, [what]: this.#counts[what] + 1 };
  }
}

/**
 * Adds counts up.
 *
 * @example
 * ```ts
 * const total = tallies.map(({ counts }) => counts).reduce(addCounts,
 * NO_WORK);
 * ```
 */
export function addCounts(a: WorkCounts, b: WorkCounts): WorkCounts {
  const names = Object.keys(NO_WORK) as Counted[];
  const sums = names.map((what) => [what, a[what] + b[what]] as const);
  return Object.fromEntries(sums) as unknown as WorkCounts;
}

/**
 * Which count the end of a job belongs to.
 *
 * @example
 * ```ts
 * tally.count(classifyEnd(outcome, reason));
 * ```
 */
export function classifyEnd(outcome: Outcome, reason: EndReason): Counted {
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
