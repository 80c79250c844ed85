import { EndReason, Outcome } from "@mustardweir/model";
import type { WorkCounts } from "@mustardweir/protocol";
import { Waits } from "../waits.ts";

type Counted = keyof WorkCounts;

const NO_WORK: WorkCounts = {
  accepted: 0,
  completed: 0,
  failed: 0,
  notRun: 0,
  cancelled: 0,
  unknown: 0,
  unmeasured: 0,
};

/** Counts and waits of one part of time, or of several added up. */
export class Tally {
  readonly waits = new Waits();
  #counts = NO_WORK;

  get counts(): WorkCounts {
    return this.#counts;
  }

  count(what: Counted, by = 1): void {
    this.#counts = { ...this.#counts, [what]: this.#counts[what] + by };
  }

  add(other: Tally): void {
    for (const what of Object.keys(NO_WORK) as Counted[]) {
      this.count(what, other.counts[what]);
    }
    this.waits.add(other.waits);
  }
}

/** Which count the end of a job belongs to. */
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
