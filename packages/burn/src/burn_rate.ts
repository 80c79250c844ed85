import { BurnAlert, type BurnFigures, BurnWindow } from "@mustardweir/protocol";
import { BUDGET_WINDOW } from "./windows.ts";

/**
 * The alert is `BurnAlert.Fast` if the rates over 5 minutes and over 1 hour
 * are both at least this.
 */
export const FAST_BURN_RATE = 14.4;

/**
 * The alert is `BurnAlert.Slow` if the rates over 6 hours and over 3 days are
 * both above this.
 */
export const SLOW_BURN_RATE = 1;

type WindowBurnRate = Pick<BurnFigures, "window" | "burnRate">;

/**
 * Returns the rate at which the error budget is used: at 1 it is used up
 * within the window, at 0 nothing is used. Undefined if no job was measured.
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
 * Returns the alert level. A level applies only if both windows of its pair
 * burn that fast.
 *
 * @example
 * ```ts
 * const alert = determineAlert(series.windows);
 * ```
 */
export function determineAlert(windows: readonly WindowBurnRate[]): BurnAlert {
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
 * Returns the remaining fraction of the error budget, negative if it is
 * exceeded. Undefined if no job was measured.
 *
 * @example
 * ```ts
 * budgetLeft(series.windows); // 0.4: 60% of the budget is used up
 * ```
 */
export function budgetLeft(
  windows: readonly WindowBurnRate[],
): number | undefined {
  const rate = windows.find(({ window }) => window === BUDGET_WINDOW)?.burnRate;
  return rate === undefined ? undefined : 1 - rate;
}
