import { JobKind, JobState } from "@mustardweir/model";
import { build } from "hdr-histogram-js";
import type { Audit, TeamShare } from "./audit.ts";
import type { SubmittedJob } from "./submitter.ts";

/** The results of a run of the demo. */
export interface DemoReport {
  readonly fleet: string;
  readonly stories: readonly SubmittedJob[];
  /** Number of task starts. */
  readonly starts: number;
  /** Average use of the instances that ran any task, from 0 to 1. */
  readonly packing: number;
  readonly parts: readonly TeamShare[];
  readonly audit: Audit;
  /** Lines about the injected failures. */
  readonly lines: readonly string[];
}

const LABEL_WIDTH = 24;

/** Renders the report that the demo prints at its end. */
export function renderReport(report: DemoReport): string {
  const { stories, audit } = report;
  const ended = stories.filter(({ status }) =>
    status?.state === JobState.Ended
  );
  return [
    "",
    `mustardweir demo, fleet ${report.fleet}`,
    ...report.lines,
    "",
    row("jobs submitted", String(stories.length)),
    row("jobs ended", String(ended.length)),
    row("task starts", String(report.starts)),
    ...Object.values(JobKind).map((kind) => renderWaitRow(kind, stories)),
    row("packing", formatPercent(report.packing)),
    ...report.parts.map(renderShareRow),
    row("unknown outcome", summarizeNames(audit.unknown)),
    row("lost", summarizeNames(audit.lost)),
    row("doubled", summarizeNames(audit.duplicateRuns)),
    row("over limit", summarizeNames(audit.overLimit)),
    "",
  ].join("\n");
}

function row(label: string, value: string): string {
  return `  ${label.padEnd(LABEL_WIDTH)}${value}`;
}

function renderWaitRow(
  kind: JobKind,
  stories: readonly SubmittedJob[],
): string {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const { job, status } of stories) {
    if (job.spec.kind === kind && status?.waitedMs !== undefined) {
      histogram.recordValue(Math.round(status.waitedMs));
    }
  }
  const at = (percentile: number) =>
    `${histogram.getValueAtPercentile(percentile)} ms`;
  return row(
    `wait ${kind}`,
    histogram.totalCount === 0
      ? "none started"
      : `p50 ${at(50)}  p99 ${at(99)}  of ${histogram.totalCount}`,
  );
}

function renderShareRow({ team, share, entitlement }: TeamShare): string {
  return row(
    `share ${team}`,
    `${formatPercent(share)} used, ${formatPercent(entitlement)} entitled`,
  );
}

function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

/** Returns the number of names and the first 12, to keep the report short. */
function summarizeNames(names: readonly string[]): string {
  const some = names.slice(0, 12).join(", ");
  const rest = names.length > 12 ? ", …" : "";
  return names.length === 0 ? "0" : `${names.length}: ${some}${rest}`;
}
