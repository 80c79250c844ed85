import type { History } from "./history.ts";
import type { Point } from "./point.ts";

/** Checks one point against the history of a simulation run. */
export abstract class Oracle {
  abstract readonly point: Point;

  /** Returns the number of events in the run that exercise the point. */
  abstract countRelevant(history: History): number;

  /** Returns one line for each violation of the point. */
  abstract findViolations(history: History): string[];
}
