import type { JobKind } from "@mustardweir/model";
import type { PeerMessageKind } from "./peer_messages.ts";

/** How far back a figure of the burn report reaches. */
export enum BurnWindow {
  FiveMinutes = "5m",
  OneHour = "1h",
  SixHours = "6h",
  ThreeDays = "3d",
}

/** An entry asks a scheduler for its record of waits and ends. */
export interface BurnRequest {
  readonly kind: PeerMessageKind.BurnRequest;
  /** The record carries it back. */
  readonly requestId: string;
}

/** How many jobs of a team and kind came to what. */
export interface WorkCounts {
  readonly accepted: number;
  /** Ran to their end. */
  readonly completed: number;
  readonly failed: number;
  /** Given up before any part of them ran; cancelled ones not included. */
  readonly notRun: number;
  readonly cancelled: number;
  /** Lost with an instance; they may have run. */
  readonly unknown: number;
  /** Started, but accepted by an earlier owner: their wait is not known. */
  readonly unmeasured: number;
}

/** What one scheduler saw within one window. */
export interface BurnRecordWindow extends WorkCounts {
  readonly window: BurnWindow;
  /** Encoded histogram of the waits of started jobs, in milliseconds. */
  readonly waits: string;
}

/** Jobs that are still waiting, with an encoded histogram of their waits. */
export interface BurnRecordSeries {
  readonly team: string;
  readonly kind: JobKind;
  readonly windows: readonly BurnRecordWindow[];
  readonly waiting: string;
  /** By time, oldest first. */
  readonly points: readonly BurnPoint[];
}

/** A time in which a scheduler kept the home of a team. */
export interface BurnSpan {
  readonly team: string;
  readonly fromAgeMs: number;
  readonly toAgeMs: number;
}

/** One scheduler's record. */
export interface BurnRecord {
  readonly kind: PeerMessageKind.BurnRecord;
  readonly requestId: string;
  readonly series: readonly BurnRecordSeries[];
  readonly spans: readonly BurnSpan[];
}

/** How fast an error budget is being used up. */
export enum BurnAlert {
  None = "none",
  /** The long windows burn faster than the budget allows. */
  Slow = "slow",
  /** The short windows burn so fast that the budget ends within days. */
  Fast = "fast",
}

/** The figures of one window, over all schedulers. */
export interface BurnFigures extends WorkCounts {
  readonly window: BurnWindow;
  /** Jobs that started, by whether they did in time. */
  readonly inTime: number;
  /** Started late, given up, or late already while they wait. */
  readonly late: number;
  /** Rate at which the budget is used; 1 uses it up in the window. */
  readonly burnRate?: number;
  /** Waits of started jobs in milliseconds, by quantile such as 0.99. */
  readonly waitMs: Readonly<Record<string, number>>;
  /** Part of the window that some scheduler has a record of. */
  readonly covered: number;
}

/** A part of a series for plots. */
export interface BurnPoint {
  /** Age of the end of the part, in milliseconds. */
  readonly ageMs: number;
  readonly widthMs: number;
  readonly accepted: number;
  readonly inTime: number;
  readonly late: number;
  /** The longest 99th percentile that any scheduler saw. */
  readonly p99Ms: number;
}

/** Work of one team and kind, against its objective when there is one. */
export interface BurnSeries {
  readonly team: string;
  readonly kind: JobKind;
  readonly objective?: {
    readonly startWithinMs: number;
    readonly target: number;
  };
  readonly windows: readonly BurnFigures[];
  /** Part of the error budget of the longest window that is left. */
  readonly budgetLeft?: number;
  readonly alert: BurnAlert;
  readonly points: readonly BurnPoint[];
}

/** A time of which no scheduler that answered has a record. */
export interface BurnGap {
  readonly team: string;
  readonly fromAgeMs: number;
  readonly toAgeMs: number;
}

/** A scheduler that did not answer. */
export interface SilentScheduler {
  readonly nodeId: string;
  /** Time since it was last heard from, in milliseconds. */
  readonly silentMs: number;
}

/** The burn report, merged from the records of all schedulers that answered. */
export interface BurnReport {
  readonly series: readonly BurnSeries[];
  readonly schedulers: readonly string[];
  readonly silent: readonly SilentScheduler[];
  readonly gaps: readonly BurnGap[];
}
