import {
  type BurnFigures,
  type BurnGap,
  type BurnReport,
  type BurnSeries,
  BurnWindow,
} from "@mustardweir/protocol";
import { WINDOWS } from "../windows.ts";

/** A burn report as an entry answers it. */
export interface BurnReply extends BurnReport {
  /** ISO 8601 time that all ages in the report are counted from. */
  readonly asOf: string;
  readonly configurationVersion: number;
}

/** The columns of the table of windows. */
export const FIGURE_HEADS = [
  "WINDOW",
  "IN-TIME",
  "LATE",
  "BURN",
  "P50-MS",
  "P99-MS",
  "ACCEPTED",
  "COMPLETED",
  "FAILED",
  "NOT-RUN",
  "CANCELLED",
  "UNKNOWN",
  "RECORD",
] as const;

/**
 * The cells of one window, in the order of {@link FIGURE_HEADS}.
 *
 * @example
 * ```ts
 * const rows = series.windows.map(figureCells);
 * ```
 */
export function figureCells(figures: BurnFigures): string[] {
  return [
    figures.window,
    String(figures.inTime),
    String(figures.late),
    figures.burnRate === undefined ? "-" : figures.burnRate.toFixed(2),
    String(figures.waitMs["0.5"] ?? 0),
    String(figures.waitMs["0.99"] ?? 0),
    String(figures.accepted),
    String(figures.completed),
    String(figures.failed),
    String(figures.notRun),
    String(figures.cancelled),
    String(figures.unknown),
    percent(figures.covered),
  ];
}

/**
 * One line on a series: its objective, budget and alert.
 *
 * @example
 * ```ts
 * lines.push(describeSeries(series));
 * ```
 */
export function describeSeries(series: BurnSeries): string {
  const { team, kind, objective, budgetLeft, alert } = series;
  if (objective === undefined) {
    return `${team} ${kind}: no objective in the rules`;
  }
  const goal = `${percent(objective.target)} start within ` +
    `${objective.startWithinMs} ms`;
  const budget = budgetLeft === undefined
    ? "nothing measured"
    : `error budget left ${percent(budgetLeft)}`;
  return `${team} ${kind}: ${goal}, ${budget}, alert ${alert}`;
}

/**
 * Lines that say what the report has no record of.
 *
 * @example
 * ```ts
 * const lines = describeMissing(reply);
 * ```
 */
export function describeMissing(report: BurnReply): string[] {
  return [
    ...report.silent.map(({ nodeId, silentMs }) =>
      `${nodeId} did not answer; it was last heard from at ` +
      `${timeOf(report, silentMs)}, and what only it has seen is missing`
    ),
    ...report.gaps.map((gap) => describeGap(report, gap)),
    ...report.series.flatMap(describeUnmeasured),
  ];
}

/**
 * The wall-clock time of an age, to the second.
 *
 * @example
 * ```ts
 * timeOf(reply, 60_000); // "2030-01-01T00:00:00Z"
 * ```
 */
export function timeOf({ asOf }: BurnReply, ageMs: number): string {
  const time = new Date(Date.parse(asOf) - ageMs);
  return time.toISOString().replace(/\.\d+Z$/, "Z");
}

function describeGap(report: BurnReply, gap: BurnGap): string {
  const { team, fromAgeMs, toAgeMs } = gap;
  const to = timeOf(report, toAgeMs);
  const longest = WINDOWS[BurnWindow.ThreeDays].lengthMs;
  return fromAgeMs >= longest
    ? `no record of ${team} before ${to}`
    : `no record of ${team} from ${timeOf(report, fromAgeMs)} to ${to}`;
}

function describeUnmeasured({ team, kind, windows }: BurnSeries): string[] {
  const unmeasured =
    windows.find(({ window }) => window === BurnWindow.ThreeDays)?.unmeasured ??
      0;
  return unmeasured > 0
    ? [
      `${unmeasured} jobs of ${team} ${kind} were accepted by an earlier owner; their waits are not known`,
    ]
    : [];
}

function percent(fraction: number): string {
  return `${Number((fraction * 100).toFixed(2))}%`;
}
