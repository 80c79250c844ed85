import { findJobId, type LogLine } from "./log_lines.ts";

/** The parts into which the total time of a job is divided. */
export enum TimePart {
  /** From the arrival of the submission to its acceptance. */
  Accept = "accept",
  /** From the acceptance to the first reply of the placement policy. */
  Permit = "permit",
  /** From that reply, or else from the acceptance, to the first start. */
  Room = "room",
  /** The longest successful attempt of each stage, added up. */
  Run = "run",
  /** The longest failed attempt of each stage, added up. */
  Failed = "failed",
  /** Everything else: waits of later stages, lost attempts, owner changes. */
  Other = "other",
}

/** The mean times of the ended jobs of a queue or a team, in milliseconds. */
export interface Breakdown {
  readonly name: string;
  readonly jobs: number;
  /** The number of accepted jobs whose end is not in the logs. */
  readonly open: number;
  readonly meanMs: Readonly<Record<TimePart, number>>;
  readonly totalMs: number;
}

/** The field by which jobs are grouped. */
export enum Grouping {
  Queue = "queue",
  Team = "team",
}

/**
 * Returns the mean time of jobs in each part, by queue or by team. The group
 * with the largest total time comes first.
 *
 * @example
 * ```ts
 * const rows = computeBreakdowns(lines, Grouping.Queue);
 * ```
 */
export function computeBreakdowns(
  lines: readonly LogLine[],
  grouping: Grouping,
): Breakdown[] {
  const byJob = new Map<string, LogLine[]>();
  for (const line of lines) {
    const jobId = findJobId(line);
    if (jobId !== undefined) {
      const existing = byJob.get(jobId);
      if (existing === undefined) {
        byJob.set(jobId, [line]);
      } else {
        existing.push(line);
      }
    }
  }
  const groups = new Map<string, GroupTotals>();
  for (const jobLines of byJob.values()) {
    const accepted = jobLines.find(({ message }) => message === "Job accepted");
    const name = accepted?.fields[grouping];
    if (accepted !== undefined && typeof name === "string") {
      const sum = groups.get(name) ?? createTotals();
      groups.set(name, sum);
      addJob(sum, jobLines, accepted);
    }
  }
  return [...groups].map(([name, sum]) => toBreakdown(name, sum))
    .sort((a, b) => b.totalMs * b.jobs - a.totalMs * a.jobs);
}

interface GroupTotals {
  jobs: number;
  open: number;
  totalMs: number;
  readonly parts: Record<TimePart, number>;
}

function createTotals(): GroupTotals {
  return {
    jobs: 0,
    open: 0,
    totalMs: 0,
    parts: {
      [TimePart.Accept]: 0,
      [TimePart.Permit]: 0,
      [TimePart.Room]: 0,
      [TimePart.Run]: 0,
      [TimePart.Failed]: 0,
      [TimePart.Other]: 0,
    },
  };
}

function addJob(
  sum: GroupTotals,
  jobLines: readonly LogLine[],
  accepted: LogLine,
): void {
  const ended = jobLines.find(({ message }) => message === "Job ended");
  const started = jobLines.find(({ message }) => message === "Start ordered");
  if (ended === undefined) {
    sum.open++;
    return;
  }
  const acceptMs = Number(accepted.fields.tookMs ?? 0);
  const totalMs = ended.timeMs - accepted.timeMs + acceptMs;
  const granted = jobLines.find(({ message }) => message === "Permits granted");
  const permitMs = granted === undefined
    ? 0
    : Math.max(0, granted.timeMs - accepted.timeMs);
  const roomMs = started === undefined
    ? 0
    : Math.max(0, started.timeMs - accepted.timeMs - permitMs);
  const runMs = sumLongestRuns(jobLines, "done");
  const failedMs = sumLongestRuns(jobLines, "failed");
  const measuredMs = acceptMs + permitMs + roomMs + runMs + failedMs;
  sum.jobs++;
  sum.totalMs += totalMs;
  sum.parts[TimePart.Accept] += acceptMs;
  sum.parts[TimePart.Permit] += permitMs;
  sum.parts[TimePart.Room] += roomMs;
  sum.parts[TimePart.Run] += runMs;
  sum.parts[TimePart.Failed] += failedMs;
  sum.parts[TimePart.Other] += Math.max(0, totalMs - measuredMs);
}

/**
 * Returns the sum over stages of the longest attempt that ended with `end`, in
 * milliseconds.
 */
function sumLongestRuns(jobLines: readonly LogLine[], end: string): number {
  const byStage = new Map<string, number>();
  for (const { message, fields } of jobLines) {
    if (message === "Attempt ended" && fields.end === end) {
      const stage = String(fields.task).split(".").slice(0, 3).join(".");
      const ranMs = Number(fields.ranMs ?? 0);
      byStage.set(stage, Math.max(byStage.get(stage) ?? 0, ranMs));
    }
  }
  return [...byStage.values()].reduce((sum, ranMs) => sum + ranMs, 0);
}

function toBreakdown(name: string, sum: GroupTotals): Breakdown {
  const mean = (value: number) => sum.jobs === 0 ? 0 : value / sum.jobs;
  return {
    name,
    jobs: sum.jobs,
    open: sum.open,
    totalMs: mean(sum.totalMs),
    meanMs: {
      [TimePart.Accept]: mean(sum.parts[TimePart.Accept]),
      [TimePart.Permit]: mean(sum.parts[TimePart.Permit]),
      [TimePart.Room]: mean(sum.parts[TimePart.Room]),
      [TimePart.Run]: mean(sum.parts[TimePart.Run]),
      [TimePart.Failed]: mean(sum.parts[TimePart.Failed]),
      [TimePart.Other]: mean(sum.parts[TimePart.Other]),
    },
  };
}
