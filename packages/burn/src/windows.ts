import { BurnWindow } from "@mustardweir/protocol";

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;

/** Widths of the intervals in which jobs are counted. */
export enum Resolution {
  Minute = "minute",
  HalfHour = "half-hour",
}

/** The width of the intervals of a resolution, and the number kept. */
export interface ResolutionDefinition {
  readonly widthMs: number;
  /** The number of intervals that are kept. */
  readonly keptIntervals: number;
}

/** The resolutions of a record; the finer one is kept for a shorter time. */
export const RESOLUTIONS: Readonly<Record<Resolution, ResolutionDefinition>> = {
  [Resolution.Minute]: { widthMs: MINUTE_MS, keptIntervals: 60 },
  [Resolution.HalfHour]: { widthMs: 30 * MINUTE_MS, keptIntervals: 144 },
};

/** The length of a window, and the resolution that it is computed from. */
export interface WindowDefinition {
  readonly lengthMs: number;
  readonly resolution: Resolution;
}

/** Each window covers whole intervals, including the current one. */
export const WINDOWS: Readonly<Record<BurnWindow, WindowDefinition>> = {
  [BurnWindow.FiveMinutes]: {
    lengthMs: 5 * MINUTE_MS,
    resolution: Resolution.Minute,
  },
  [BurnWindow.OneHour]: { lengthMs: HOUR_MS, resolution: Resolution.Minute },
  [BurnWindow.SixHours]: {
    lengthMs: 6 * HOUR_MS,
    resolution: Resolution.HalfHour,
  },
  [BurnWindow.ThreeDays]: {
    lengthMs: 72 * HOUR_MS,
    resolution: Resolution.HalfHour,
  },
};

/** The window over which the error budget is measured. */
export const BUDGET_WINDOW = BurnWindow.ThreeDays;

/**
 * Returns the number of intervals that a window covers.
 *
 * @example
 * ```ts
 * countIntervals(BurnWindow.OneHour); // 60
 * ```
 */
export function countIntervals(window: BurnWindow): number {
  const { lengthMs, resolution } = WINDOWS[window];
  return lengthMs / RESOLUTIONS[resolution].widthMs;
}
