import { BurnWindow } from "@mustardweir/protocol";

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;

/** Widths of the parts of time that work is counted in. */
export enum Tier {
  Minute = "minute",
  HalfHour = "half-hour",
}

/** How wide the parts of a tier are, and how many are kept. */
export interface TierShape {
  readonly widthMs: number;
  /** Parts that are kept. */
  readonly kept: number;
}

/** The tiers in which a record is kept, fine ones for a shorter time. */
export const TIERS: Readonly<Record<Tier, TierShape>> = {
  [Tier.Minute]: { widthMs: MINUTE_MS, kept: 60 },
  [Tier.HalfHour]: { widthMs: 30 * MINUTE_MS, kept: 144 },
};

/** How long a window is, and which tier it is read from. */
export interface WindowShape {
  readonly lengthMs: number;
  readonly tier: Tier;
}

/** Each window covers whole parts of its tier, the newest one included. */
export const WINDOWS: Readonly<Record<BurnWindow, WindowShape>> = {
  [BurnWindow.FiveMinutes]: { lengthMs: 5 * MINUTE_MS, tier: Tier.Minute },
  [BurnWindow.OneHour]: { lengthMs: HOUR_MS, tier: Tier.Minute },
  [BurnWindow.SixHours]: { lengthMs: 6 * HOUR_MS, tier: Tier.HalfHour },
  [BurnWindow.ThreeDays]: { lengthMs: 72 * HOUR_MS, tier: Tier.HalfHour },
};

/** The window that the error budget is for. */
export const BUDGET_WINDOW = BurnWindow.ThreeDays;

/**
 * Number of parts that a window covers.
 *
 * @example
 * ```ts
 * partsOf(BurnWindow.OneHour); // 60
 * ```
 */
export function partsOf(window: BurnWindow): number {
  const { lengthMs, tier } = WINDOWS[window];
  return lengthMs / TIERS[tier].widthMs;
}
