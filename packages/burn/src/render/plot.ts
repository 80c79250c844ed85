import type { BurnPoint, BurnSeries } from "@mustardweir/protocol";
import { type BurnReply, formatTimeAtAge } from "./burn_reply.ts";

const WIDTH = 680;
const HEIGHT = 120;
const LABEL_HEIGHT = 18;

/** Space above the bars for the label with the highest number of jobs. */
const TOP_MARGIN = 16;

const BASELINE = TOP_MARGIN + HEIGHT;

/** The points that a plot shows: those of one width, within a time span. */
export interface PlotOptions {
  readonly title: string;
  readonly widthMs: number;
  readonly spanMs: number;
}

/**
 * Returns an SVG bar chart of started jobs over time. Each bar stacks the late
 * jobs on those in time.
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
  const maxCount = Math.max(1, ...points.map((p) => p.inTime + p.late));
  const bars = points.map((point) =>
    renderBar(report, point, { ...options, maxCount })
  );
  const from = formatTimeAtAge(report, options.spanMs);
  const to = formatTimeAtAge(report, 0);
  return [
    `<svg viewBox="0 0 ${WIDTH} ${BASELINE + LABEL_HEIGHT}" role="img">`,
    `<title>${options.title}: jobs started, at most ${maxCount} in a bar</title>`,
    `<line class="axis" x1="0" y1="${BASELINE}" x2="${WIDTH}" y2="${BASELINE}"/>`,
    ...bars,
    `<text x="0" y="${BASELINE + LABEL_HEIGHT - 4}">${from}</text>`,
    `<text class="end" x="${WIDTH}" y="${
      BASELINE + LABEL_HEIGHT - 4
    }">${to}</text>`,
    `<text x="0" y="12">${maxCount} in the highest bar</text>`,
    "</svg>",
  ].join("\n");
}

interface BarScale {
  readonly spanMs: number;
  readonly widthMs: number;
  readonly maxCount: number;
}

function renderBar(
  report: BurnReply,
  point: BurnPoint,
  { spanMs, widthMs, maxCount }: BarScale,
): string {
  const right = WIDTH * (1 - point.ageMs / spanMs);
  const left = Math.max(0, right - WIDTH * widthMs / spanMs);
  const width = right - left;
  const inTime = HEIGHT * point.inTime / maxCount;
  const late = HEIGHT * point.late / maxCount;
  const label =
    `until ${formatTimeAtAge(report, point.ageMs)}: ${point.inTime} ` +
    `in time, ${point.late} late, p99 ${point.p99Ms} ms`;
  const rect = (name: string, top: number, height: number) =>
    `<rect class="${name}" x="${left.toFixed(1)}" y="${top.toFixed(1)}" ` +
    `width="${Math.max(1, width - 1).toFixed(1)}" ` +
    `height="${height.toFixed(1)}"/>`;
  return [
    `<g><title>${label}</title>`,
    rect("in-time", BASELINE - inTime, inTime),
    rect("late", BASELINE - inTime - late, late),
    "</g>",
  ].join("");
}
