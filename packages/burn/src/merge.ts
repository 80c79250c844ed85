import type { JobKind, Rules } from "@mustardweir/model";
import {
  type BurnFigures,
  type BurnPoint,
  type BurnRecord,
  type BurnRecordSeries,
  type BurnSeries,
  type BurnSpan,
  BurnWindow,
  type WorkCounts,
} from "@mustardweir/protocol";
import { budgetLeft, burnRate, determineAlert } from "./burn_rate.ts";
import { computeCoverage } from "./coverage.ts";
import { findObjective, type SeriesName } from "./objectives.ts";
import { decodeWaitHistogram, WaitHistogram } from "./wait_histogram.ts";
import { WINDOWS } from "./windows.ts";

const QUANTILES = [0.5, 0.9, 0.99] as const;

/** The records to merge, and the rules whose objectives apply. */
export interface MergeOptions {
  readonly records: readonly BurnRecord[];
  readonly rules: Rules;
  /** Restricts the result to this team; all teams by default. */
  readonly team?: string;
}

type Objective = NonNullable<BurnSeries["objective"]>;

/** The input for one series, gathered from all schedulers' records. */
interface SeriesInput {
  readonly parts: readonly BurnRecordSeries[];
  readonly spans: readonly BurnSpan[];
  readonly objective?: Objective;
}

/**
 * Merges the records of the schedulers into one series for each team and kind,
 * and computes their figures against the objectives.
 *
 * @example
 * ```ts
 * const series = mergeRecords({ records, rules: configuration.rules });
 * ```
 */
export function mergeRecords(options: MergeOptions): BurnSeries[] {
  const { records } = options;
  const spans = records.flatMap((record) => record.spans);
  return listSeriesNames(options).map(({ team, kind }) => {
    const parts = records.flatMap((record) => record.series)
      .filter((part) => part.team === team && part.kind === kind);
    const objective = findSeriesObjective(options.rules, { team, kind });
    return mergeSeries({ team, kind }, { parts, spans, objective });
  });
}

/**
 * Returns whether every histogram of a record can be decoded.
 *
 * @example
 * ```ts
 * const readable = records.filter(hasReadableHistograms);
 * ```
 */
export function hasReadableHistograms(record: BurnRecord): boolean {
  const texts = record.series.flatMap(({ waiting, windows }) => [
    waiting,
    ...windows.map(({ waits }) => waits),
  ]);
  return texts.every((text) => decodeWaitHistogram(text).isOk());
}

function listSeriesNames({ records, rules, team }: MergeOptions): SeriesName[] {
  const named: SeriesName[] = [
    ...rules.objectives.map((objective) => ({
      team: objective.team,
      kind: objective.kind as JobKind,
    })),
    ...records.flatMap((record) => record.series),
  ];
  const byName = new Map(
    named.map(({ team, kind }) => [`${team}/${kind}`, { team, kind }]),
  );
  return [...byName].sort(([a], [b]) => a < b ? -1 : 1)
    .map(([, name]) => name)
    .filter((name) => team === undefined || name.team === team);
}

function findSeriesObjective(
  rules: Rules,
  name: SeriesName,
): Objective | undefined {
  const found = findObjective(rules, name);
  return found &&
    { startWithinMs: found.startWithinMs, target: found.target };
}

function mergeSeries(name: SeriesName, gathered: SeriesInput): BurnSeries {
  const { parts, objective } = gathered;
  const windows = Object.values(BurnWindow).map((window) =>
    mergeWindow(window, { ...gathered, team: name.team })
  );
  return {
    ...name,
    objective,
    windows,
    budgetLeft: budgetLeft(windows),
    alert: determineAlert(windows),
    points: mergePoints(parts.flatMap((part) => part.points)),
  };
}

function mergeWindow(
  window: BurnWindow,
  gathered: SeriesInput & { readonly team: string },
): BurnFigures {
  const { parts, objective, spans, team } = gathered;
  const reported = parts.flatMap((part) => part.windows)
    .filter((part) => part.window === window);
  const waits = sumWaits(reported.map((part) => part.waits));
  const waiting = sumWaits(parts.map((part) => part.waiting));
  const limitMs = objective?.startWithinMs ?? Infinity;
  const counts = sumCounts(reported);
  const inTime = waits.countWithin(limitMs);
  const overdue = waiting.count - waiting.countWithin(limitMs);
  const late = waits.count - inTime + counts.notRun + overdue;
  const { lengthMs } = WINDOWS[window];
  return {
    window,
    ...counts,
    inTime,
    late,
    burnRate: objective && burnRate({ inTime, late }, objective.target),
    waitMs: computeQuantiles(waits),
    covered: computeCoverage(team, { spans, lengthMs }),
  };
}

/**
 * Adds up points of equal width whose intervals nearly coincide; the intervals
 * of different schedulers need not align exactly.
 */
function mergePoints(points: readonly BurnPoint[]): BurnPoint[] {
  const groups = new Map<string, BurnPoint>();
  for (const point of points) {
    const { ageMs, widthMs } = point;
    const name = `${widthMs}/${Math.round(ageMs / widthMs)}`;
    const existing = groups.get(name);
    groups.set(
      name,
      existing === undefined ? point : addPoints(existing, point),
    );
  }
  return [...groups.values()]
    .sort((a, b) => b.widthMs - a.widthMs || b.ageMs - a.ageMs);
}

function addPoints(a: BurnPoint, b: BurnPoint): BurnPoint {
  return {
    ageMs: Math.min(a.ageMs, b.ageMs),
    widthMs: a.widthMs,
    accepted: a.accepted + b.accepted,
    inTime: a.inTime + b.inTime,
    late: a.late + b.late,
    p99Ms: Math.max(a.p99Ms, b.p99Ms),
  };
}

function sumWaits(texts: readonly string[]): WaitHistogram {
  const sum = new WaitHistogram();
  for (const text of texts) {
    decodeWaitHistogram(text).map((waits) => sum.add(waits));
  }
  return sum;
}

function sumCounts(parts: readonly WorkCounts[]): WorkCounts {
  const sum = (countName: keyof WorkCounts) =>
    parts.reduce((total, part) => total + part[countName], 0);
  return {
    accepted: sum("accepted"),
    completed: sum("completed"),
    failed: sum("failed"),
    notRun: sum("notRun"),
    cancelled: sum("cancelled"),
    unknown: sum("unknown"),
    unmeasured: sum("unmeasured"),
  };
}

function computeQuantiles(waits: WaitHistogram): Record<string, number> {
  return Object.fromEntries(
    QUANTILES.map((fraction) => [String(fraction), waits.quantile(fraction)]),
  );
}
