import { JobKind, JobState } from "@mustardweir/model";
import { build } from "hdr-histogram-js";
import type { Audit, TeamPart } from "./audit.ts";
import type { JobStory } from "./submitter.ts";

/** What a run of the demo found. */
export interface DemoReport {
  readonly fleet: string;
  readonly stories: readonly JobStory[];
  readonly starts: number;
  readonly packing: number;
  readonly parts: readonly TeamPart[];
  readonly audit: Audit;
  readonly lines: readonly string[];
}

const LABEL_WIDTH = 24;

/** The table that the demo ends with. */
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
    ...Object.values(JobKind).map((kind) => waitRow(kind, stories)),
    row("packing", percent(report.packing)),
    ...report.parts.map(partRow),
    row("unknown outcome", describe(audit.unknown)),
    row("lost", describe(audit.lost)),
    row("doubled", describe(audit.doubled)),
    row("over limit", describe(audit.overLimit)),
    "",
  ].join("\n");
}

function row(label: string, value: string): string {
  return `  ${label.padEnd(LABEL_WIDTH)}${value}`;
}

function waitRow(kind: JobKind, stories: readonly JobStory[]): string {
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

function partRow({ team, share, entitlement }: TeamPart): string {
  return row(
    `share ${team}`,
    `${percent(share)} used, ${percent(entitlement)} entitled`,
  );
}

function percent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

/** Names of the first few; the table stays short. */
function describe(names: readonly string[]): string {
  const some = names.slice(0, 12).join(", ");
  const rest = names.length > 12 ? ", …" : "";
  return names.length === 0 ? "0" : `${names.length}: ${some}${rest}`;
}
