import {
  type BurnFigures,
  type BurnGap,
  type BurnReport,
  type BurnSeries,
  BurnWindow,
} from "@mustardweir/protocol";
import { WINDOWS } from "../windows.ts";

/** A burn report as an entry node returns it. */
export interface BurnReply extends BurnReport {
  /** ISO 8601 time to which all ages in the report refer. */
  readonly asOf: string;
  readonly configurationVersion: number;
}

/** The column headings of the table of windows. */
export const FIGURE_HEADINGS = [
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
 * Returns the table cells of one window, in the order of
 * {@link FIGURE_HEADINGS}.
 *
 * @example
 * ```ts
 * const rows = series.windows.map(formatFigureCells);
 * ```
 */
export function formatFigureCells(figures: BurnFigures): string[] {
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
 * Returns one line with the objective, error budget and alert of a series.
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
 * Returns one line for each part that is missing from the report.
 *
 * @example
 * ```ts
 * const lines = describeMissing(reply);
 * ```
 */
export function describeMissing(report: BurnReply): string[] {
  return [
    ...report.silent.map(({ nodeId, silentMs }) =>
      `${nodeId} did not reply; its last heartbeat was received at ` +
      `${
        formatTimeAtAge(report, silentMs)
      }, and jobs that only it recorded are missing`
    ),
    ...report.gaps.map((gap) => describeGap(report, gap)),
    ...report.series.flatMap(describeUnmeasured),
  ];
}

/**
 * Returns the ISO 8601 time that lies `ageMs` before the report, to the second.
 *
 * @example
 * ```ts
 * formatTimeAtAge(reply, 60_000); // "2030-01-01T00:00:00Z"
 * ```
 */
export function formatTimeAtAge({ asOf }: BurnReply, ageMs: number): string {
  const time = new Date(Date.parse(asOf) - ageMs);
  return time.toISOString().replace(/\.\d+Z$/, "Z");
}

function describeGap(report: BurnReply, gap: BurnGap): string {
  const { team, fromAgeMs, toAgeMs } = gap;
  const to = formatTimeAtAge(report, toAgeMs);
  const longest = WINDOWS[BurnWindow.ThreeDays].lengthMs;
  return fromAgeMs >= longest
    ? `no record of ${team} before ${to}`
    : `no record of ${team} from ${
      formatTimeAtAge(report, fromAgeMs)
    } to ${to}`;
}

function describeUnmeasured({ team, kind, windows }: BurnSeries): string[] {
  const unmeasured =
    windows.find(({ window }) => window === BurnWindow.ThreeDays)?.unmeasured ??
      0;
  return unmeasured > 0
    ? [
      `${unmeasured} jobs of ${team} ${kind} were accepted by an earlier owner; their waits are unknown`,
    ]
    : [];
}

function percent(fraction: number): string {
  return `${Number((fraction * 100).toFixed(2))}%`;
}
