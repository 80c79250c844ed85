import {
  type BurnReply,
  describeMissing,
  describeSeries,
  FIGURE_HEADINGS,
  formatFigureCells,
} from "./burn_reply.ts";

/**
 * Returns the report as text: a table for each series, then the missing parts.
 *
 * @example
 * ```ts
 * console.log(renderBurnText(reply));
 * ```
 */
export function renderBurnText(report: BurnReply): string {
  const series = report.series.flatMap((one) => [
    describeSeries(one),
    ...alignRight([
      [...FIGURE_HEADINGS],
      ...one.windows.map(formatFigureCells),
    ]),
    "",
  ]);
  const empty = report.series.length === 0
    ? ["no objective in the rules and no job recorded", ""]
    : [];
  return [
    ...series,
    ...empty,
    ...describeMissing(report).map((line) => `missing: ${line}`),
    `told by ${report.schedulers.join(", ") || "no scheduler"}`,
    `as of ${report.asOf}, configuration version ${report.configurationVersion}`,
  ].join("\n");
}

function alignRight(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_heading, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  return rows.map((row) =>
    `  ${row.map((cell, i) => cell.padStart(widths[i] ?? 0)).join("  ")}`
  );
}
