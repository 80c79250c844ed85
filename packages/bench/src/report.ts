import { BoundKind, type Metric, missesBound } from "./metric.ts";

const SIGNIFICANT_DIGITS = 4;
const HEADER = ["metric", "value", "unit", "bound", "baseline", ""];

/**
 * Formats a metric as one line of JSON, with the cores of the machine.
 *
 * @example
 * ```ts
 * console.log(formatJson(metric, availableParallelism()));
 * ```
 */
export function formatJson(metric: Metric, cores: number): string {
  const { name, value, unit, bound, baseline, machineBound } = metric;
  const boundKind = bound === undefined
    ? undefined
    : metric.boundKind ?? BoundKind.AtMost;
  return JSON.stringify({
    name,
    value,
    unit,
    bound,
    boundKind,
    baseline,
    machineBound: machineBound ?? false,
    missed: missesBound(metric),
    cores,
  });
}

/**
 * Formats metrics as a table with aligned columns.
 *
 * @example
 * ```ts
 * console.log(formatTable(metrics));
 * ```
 */
export function formatTable(metrics: readonly Metric[]): string {
  const rows = [HEADER, ...metrics.map(formatRow)];
  const widths = HEADER.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
  ).join("\n");
}

function formatRow(metric: Metric): string[] {
  return [
    metric.name,
    formatNumber(metric.value),
    metric.unit,
    formatBound(metric),
    formatNumber(metric.baseline),
    formatVerdict(metric),
  ];
}

function formatBound(metric: Metric): string {
  if (metric.bound === undefined) {
    return "";
  }
  const sign = metric.boundKind === BoundKind.AtLeast ? ">=" : "<=";
  return `${sign} ${formatNumber(metric.bound)}`;
}

function formatVerdict(metric: Metric): string {
  if (metric.bound === undefined) {
    return "";
  }
  const verdict = missesBound(metric) ? "MISSED" : "ok";
  return metric.machineBound ? `${verdict} (on this machine)` : verdict;
}

function formatNumber(value: number | undefined): string {
  return value === undefined
    ? ""
    : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}
