import { BurnAlert, type BurnFigures, BurnWindow } from "@mustardweir/protocol";
import { BUDGET_WINDOW } from "./windows.ts";

/** Burn rate of the fast windows from which the alert is `BurnAlert.Fast`. */
export const FAST_BURN_RATE = 14.4;

/** Burn rate of the slow windows from which the alert is `BurnAlert.Slow`. */
export const SLOW_BURN_RATE = 1;

type Rated = Pick<BurnFigures, "window" | "burnRate">;

/**
 * How fast the error budget is used: 1 uses it up within the window, 0 leaves
 * it alone. Undefined when nothing was measured.
 *
 * @example
 * ```ts
 * burnRate({ inTime: 98, late: 2 }, 0.99); // 2
 * ```
 */
export function burnRate(
  { inTime, late }: { readonly inTime: number; readonly late: number },
  target: number,
): number | undefined {
  const measured = inTime + late;
  return measured === 0 ? undefined : (late / measured) / (1 - target);
}

/**
 * The alert when both windows of a pair burn too fast.
 *
 * @example
 * ```ts
 * const alert = alertOf(series.windows);
 * ```
 */
export function alertOf(windows: readonly Rated[]): BurnAlert {
  const rateOf = (window: BurnWindow) =>
    windows.find((rated) => rated.window === window)?.burnRate ?? 0;
  const { FiveMinutes, OneHour, SixHours, ThreeDays } = BurnWindow;
  if (Math.min(rateOf(FiveMinutes), rateOf(OneHour)) >= FAST_BURN_RATE) {
    return BurnAlert.Fast;
  }
  return Math.min(rateOf(SixHours), rateOf(ThreeDays)) > SLOW_BURN_RATE
    ? BurnAlert.Slow
    : BurnAlert.None;
}

/**
 * Part of the budget that is left, below 0 when it was passed.
 *
 * @example
 * ```ts
 * budgetLeft(series.windows); // 0.4: 60% of the budget is used up
 * ```
 */
export function budgetLeft(windows: readonly Rated[]): number | undefined {
  const rate = windows.find(({ window }) => window === BUDGET_WINDOW)?.burnRate;
  return rate === undefined ? undefined : 1 - rate;
}
