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
import { alertOf, budgetLeft, burnRate } from "./burn_rate.ts";
import { coveredPart } from "./coverage.ts";
import { findObjective, type SeriesName } from "./objectives.ts";
import { decodeWaits, Waits } from "./waits.ts";
import { WINDOWS } from "./windows.ts";

const QUANTILES = [0.5, 0.9, 0.99] as const;

/**
 * The records to merge, and the rules whose objectives they are held against.
 */
export interface MergeOptions {
  readonly records: readonly BurnRecord[];
  readonly rules: Rules;
  /** Only this team's series; all by default. */
  readonly team?: string;
}

type Objective = NonNullable<BurnSeries["objective"]>;

/** What all schedulers told of one series. */
interface Gathered {
  readonly parts: readonly BurnRecordSeries[];
  readonly spans: readonly BurnSpan[];
  readonly objective?: Objective;
}

/**
 * Adds up the records of the schedulers and sets them against the objectives.
 *
 * @example
 * ```ts
 * const series = mergeRecords({ records, rules: configuration.rules });
 * ```
 */
export function mergeRecords(options: MergeOptions): BurnSeries[] {
  const { records } = options;
  const spans = records.flatMap((record) => record.spans);
  return seriesNames(options).map(({ team, kind }) => {
    const parts = records.flatMap((record) => record.series)
      .filter((part) => part.team === team && part.kind === kind);
    const objective = objectiveOf(options.rules, { team, kind });
    return mergeSeries({ team, kind }, { parts, spans, objective });
  });
}

/**
 * True when every histogram of a record can be read.
 *
 * @example
 * ```ts
 * const readable = records.filter(isReadable);
 * ```
 */
export function isReadable(record: BurnRecord): boolean {
  const texts = record.series.flatMap(({ waiting, windows }) => [
    waiting,
    ...windows.map(({ waits }) => waits),
  ]);
  return texts.every((text) => decodeWaits(text).isOk());
}

function seriesNames({ records, rules, team }: MergeOptions): SeriesName[] {
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

function objectiveOf(rules: Rules, name: SeriesName): Objective | undefined {
  const found = findObjective(rules, name);
  return found &&
    { startWithinMs: found.startWithinMs, target: found.target };
}

function mergeSeries(name: SeriesName, gathered: Gathered): BurnSeries {
  const { parts, objective } = gathered;
  const windows = Object.values(BurnWindow).map((window) =>
    mergeWindow(window, { ...gathered, team: name.team })
  );
  return {
    ...name,
    objective,
    windows,
    budgetLeft: budgetLeft(windows),
    alert: alertOf(windows),
    points: mergePoints(parts.flatMap((part) => part.points)),
  };
}

function mergeWindow(
  window: BurnWindow,
  gathered: Gathered & { readonly team: string },
): BurnFigures {
  const { parts, objective, spans, team } = gathered;
  const told = parts.flatMap((part) => part.windows)
    .filter((part) => part.window === window);
  const waits = sumWaits(told.map((part) => part.waits));
  const waiting = sumWaits(parts.map((part) => part.waiting));
  const limitMs = objective?.startWithinMs ?? Infinity;
  const counts = sumCounts(told);
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
    waitMs: quantilesOf(waits),
    covered: coveredPart(team, { spans, lengthMs }),
  };
}

/** Points of schedulers whose parts of time nearly agree are added up. */
function mergePoints(points: readonly BurnPoint[]): BurnPoint[] {
  const groups = new Map<string, BurnPoint>();
  for (const point of points) {
    const { ageMs, widthMs } = point;
    const name = `${widthMs}/${Math.round(ageMs / widthMs)}`;
    const known = groups.get(name);
    groups.set(name, known === undefined ? point : addPoints(known, point));
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

function sumWaits(texts: readonly string[]): Waits {
  const sum = new Waits();
  for (const text of texts) {
    decodeWaits(text).map((waits) => sum.add(waits));
  }
  return sum;
}

function sumCounts(parts: readonly WorkCounts[]): WorkCounts {
  const sum = (what: keyof WorkCounts) =>
    parts.reduce((total, part) => total + part[what], 0);
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

function quantilesOf(waits: Waits): Record<string, number> {
  return Object.fromEntries(
    QUANTILES.map((fraction) => [String(fraction), waits.quantile(fraction)]),
  );
}
