import type { JobKind } from "@mustardweir/model";
import type { PeerMessageKind } from "./peer_messages.ts";

/** Time window, ending now, that figures of the burn report cover. */
export enum BurnWindow {
  FiveMinutes = "5m",
  OneHour = "1h",
  SixHours = "6h",
  ThreeDays = "3d",
}

/** Requests a scheduler's record of job waits and outcomes; sent by entries. */
export interface BurnRequest {
  readonly kind: PeerMessageKind.BurnRequest;
  /** Unique for the sender; copied into the record. */
  readonly requestId: string;
}

/** Numbers of jobs of one team and kind, by outcome. */
export interface WorkCounts {
  readonly accepted: number;
  /** Ran to completion. */
  readonly completed: number;
  readonly failed: number;
  /** Ended before any part of them ran; excludes cancelled jobs. */
  readonly notRun: number;
  readonly cancelled: number;
  /** Lost with an instance; they may or may not have run. */
  readonly unknown: number;
  /** Started, but accepted by an earlier owner, so their wait is unknown. */
  readonly unmeasured: number;
}

/** Counts and waits that one scheduler recorded within one window. */
export interface BurnRecordWindow extends WorkCounts {
  readonly window: BurnWindow;
  /** Encoded histogram of the waits of started jobs, in milliseconds. */
  readonly waits: string;
}

/** One scheduler's record of the jobs of one team and kind. */
export interface BurnRecordSeries {
  readonly team: string;
  readonly kind: JobKind;
  readonly windows: readonly BurnRecordWindow[];
  /** Encoded histogram of the waits so far of jobs that have not started. */
  readonly waiting: string;
  /** Ordered by time, oldest first. */
  readonly points: readonly BurnPoint[];
}

/** A period in which a scheduler owned the home of a team. */
export interface BurnSpan {
  readonly team: string;
  readonly fromAgeMs: number;
  readonly toAgeMs: number;
}

/** A scheduler's reply to {@link BurnRequest}. */
export interface BurnRecord {
  readonly kind: PeerMessageKind.BurnRecord;
  readonly requestId: string;
  readonly series: readonly BurnRecordSeries[];
  readonly spans: readonly BurnSpan[];
}

/** Alert level for the rate at which an error budget is used up. */
export enum BurnAlert {
  None = "none",
  /** The burn rate over the long windows exceeds what the budget allows. */
  Slow = "slow",
  /** At the burn rate of the short windows the budget ends within days. */
  Fast = "fast",
}

/** The figures of one window, merged over all schedulers. */
export interface BurnFigures extends WorkCounts {
  readonly window: BurnWindow;
  /** The number of jobs that started within the objective's time. */
  readonly inTime: number;
  /** The number that started late, never ran, or wait and are overdue. */
  readonly late: number;
  /** Rate at which the budget is used; 1 uses it up within the window. */
  readonly burnRate?: number;
  /** Waits of started jobs in milliseconds, by quantile such as 0.99. */
  readonly waitMs: Readonly<Record<string, number>>;
  /** Fraction of the window that the record of some scheduler covers. */
  readonly covered: number;
}

/** The figures of one time interval of a series, for plots. */
export interface BurnPoint {
  /** Age of the end of the interval, in milliseconds. */
  readonly ageMs: number;
  readonly widthMs: number;
  readonly accepted: number;
  readonly inTime: number;
  readonly late: number;
  /** The longest 99th percentile of waits that any scheduler recorded. */
  readonly p99Ms: number;
}

/** Jobs of one team and kind, compared with their objective if any. */
export interface BurnSeries {
  readonly team: string;
  readonly kind: JobKind;
  readonly objective?: {
    readonly startWithinMs: number;
    readonly target: number;
  };
  readonly windows: readonly BurnFigures[];
  /** Remaining fraction of the error budget of the longest window. */
  readonly budgetLeft?: number;
  readonly alert: BurnAlert;
  readonly points: readonly BurnPoint[];
}

/** A period for which no scheduler that replied has a record. */
export interface BurnGap {
  readonly team: string;
  readonly fromAgeMs: number;
  readonly toAgeMs: number;
}

/** A scheduler that did not reply. */
export interface UnresponsiveScheduler {
  readonly nodeId: string;
  /** Time since its last heartbeat was received, in milliseconds. */
  readonly silentMs: number;
}

/** The burn report, merged from the records of all schedulers that replied. */
export interface BurnReport {
  readonly series: readonly BurnSeries[];
  readonly schedulers: readonly string[];
  readonly silent: readonly UnresponsiveScheduler[];
  readonly gaps: readonly BurnGap[];
}
