import type { History } from "./history.ts";
import type { Point } from "./point.ts";

/** Judges one point by what happened in a run of the model. */
export abstract class Oracle {
  abstract readonly point: Point;

  /** How many events of the run the point is about; 0 when it has none. */
  abstract countRelevant(history: History): number;

  /** One line for each violation. */
  abstract findViolations(history: History): string[];
}
