import type { BurnPoint, BurnSeries } from "@mustardweir/protocol";
import { type BurnReply, timeOf } from "./burn_reply.ts";

const WIDTH = 680;
const HEIGHT = 120;
const LABEL_HEIGHT = 18;

/** Room above the bars for the label of the highest one. */
const TOP = 16;

const BASE = TOP + HEIGHT;

/** What a plot shows: points of one width over a span of time. */
export interface PlotOptions {
  readonly title: string;
  readonly widthMs: number;
  readonly spanMs: number;
}

/**
 * A plot of jobs by time, those in time below those that were late.
 *
 * @example
 * ```ts
 * const svg = renderPlot(report, series, {
 *   title: "last hour", widthMs: 60_000, spanMs: 3_600_000,
 * });
 * ```
 */
export function renderPlot(
  report: BurnReply,
  series: BurnSeries,
  options: PlotOptions,
): string {
  const points = series.points.filter((p) =>
    p.widthMs === options.widthMs && p.ageMs < options.spanMs
  );
  const most = Math.max(1, ...points.map((p) => p.inTime + p.late));
  const bars = points.map((point) =>
    renderBar(report, point, { ...options, most })
  );
  const from = timeOf(report, options.spanMs);
  const to = timeOf(report, 0);
  return [
    `<svg viewBox="0 0 ${WIDTH} ${BASE + LABEL_HEIGHT}" role="img">`,
    `<title>${options.title}: jobs started, at most ${most} in a bar</title>`,
    `<line class="axis" x1="0" y1="${BASE}" x2="${WIDTH}" y2="${BASE}"/>`,
    ...bars,
    `<text x="0" y="${BASE + LABEL_HEIGHT - 4}">${from}</text>`,
    `<text class="end" x="${WIDTH}" y="${
      BASE + LABEL_HEIGHT - 4
    }">${to}</text>`,
    `<text x="0" y="12">${most} in the highest bar</text>`,
    "</svg>",
  ].join("\n");
}

interface Scale {
  readonly spanMs: number;
  readonly widthMs: number;
  readonly most: number;
}

function renderBar(
  report: BurnReply,
  point: BurnPoint,
  { spanMs, widthMs, most }: Scale,
): string {
  const right = WIDTH * (1 - point.ageMs / spanMs);
  const left = Math.max(0, right - WIDTH * widthMs / spanMs);
  const width = right - left;
  const inTime = HEIGHT * point.inTime / most;
  const late = HEIGHT * point.late / most;
  const label = `until ${timeOf(report, point.ageMs)}: ${point.inTime} ` +
    `in time, ${point.late} late, p99 ${point.p99Ms} ms`;
  const rect = (name: string, top: number, height: number) =>
    `<rect class="${name}" x="${left.toFixed(1)}" y="${top.toFixed(1)}" ` +
    `width="${Math.max(1, width - 1).toFixed(1)}" ` +
    `height="${height.toFixed(1)}"/>`;
  return [
    `<g><title>${label}</title>`,
    rect("in-time", BASE - inTime, inTime),
    rect("late", BASE - inTime - late, late),
    "</g>",
  ].join("");
}
