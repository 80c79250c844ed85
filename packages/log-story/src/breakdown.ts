import { jobOf, type LogLine } from "./log_lines.ts";

/** Where the time of a job went. */
export enum Part {
  /** From the call's arrival to the acceptance. */
  Accept = "accept",
  /** From the acceptance to the first verdict of the placement policy. */
  Permit = "permit",
  /** From there, or from the acceptance, to the first start. */
  Room = "room",
  /** Attempts that ended done, on the longest path seen. */
  Run = "run",
  /** Attempts that failed. */
  Failed = "failed",
  /** Everything else: later stages, lost attempts, changes of the owner. */
  Other = "other",
}

/** The mean time of the jobs of a queue or a team, by part. */
export interface Breakdown {
  readonly name: string;
  readonly jobs: number;
  /** Jobs that are accepted and have no end in the logs. */
  readonly open: number;
  readonly meanMs: Readonly<Record<Part, number>>;
  readonly totalMs: number;
}

/** What jobs are grouped by. */
export enum Grouping {
  Queue = "queue",
  Team = "team",
}

/**
 * Tells where the time of jobs went, by queue or by team.
 *
 * @example
 * ```ts
 * const rows = breakDown(lines, Grouping.Queue);
 * ```
 */
export function breakDown(
  lines: readonly LogLine[],
  grouping: Grouping,
): Breakdown[] {
  const byJob = new Map<string, LogLine[]>();
  for (const line of lines) {
    const jobId = jobOf(line);
    if (jobId !== undefined) {
      const known = byJob.get(jobId);
      if (known === undefined) {
        byJob.set(jobId, [line]);
      } else {
        known.push(line);
      }
    }
  }
  const groups = new Map<string, Sum>();
  for (const own of byJob.values()) {
    const accepted = own.find(({ message }) => message === "Job accepted");
    const name = accepted?.fields[grouping];
    if (accepted !== undefined && typeof name === "string") {
      const sum = groups.get(name) ?? createSum();
      groups.set(name, sum);
      addJob(sum, own, accepted);
    }
  }
  return [...groups].map(([name, sum]) => describe(name, sum))
    .sort((a, b) => b.totalMs * b.jobs - a.totalMs * a.jobs);
}

interface Sum {
  jobs: number;
  open: number;
  totalMs: number;
  readonly parts: Record<Part, number>;
}

function createSum(): Sum {
  return {
    jobs: 0,
    open: 0,
    totalMs: 0,
    parts: {
      [Part.Accept]: 0,
      [Part.Permit]: 0,
      [Part.Room]: 0,
      [Part.Run]: 0,
      [Part.Failed]: 0,
      [Part.Other]: 0,
    },
  };
}

function addJob(sum: Sum, own: readonly LogLine[], accepted: LogLine): void {
  const ended = own.find(({ message }) => message === "Job ended");
  const started = own.find(({ message }) => message === "Start ordered");
  if (ended === undefined) {
    sum.open++;
    return;
  }
  const acceptMs = Number(accepted.fields.tookMs ?? 0);
  const totalMs = ended.timeMs - accepted.timeMs + acceptMs;
  const granted = own.find(({ message }) => message === "Permits granted");
  const permitMs = granted === undefined
    ? 0
    : Math.max(0, granted.timeMs - accepted.timeMs);
  const roomMs = started === undefined
    ? 0
    : Math.max(0, started.timeMs - accepted.timeMs - permitMs);
  const runMs = longestRun(own, "done");
  const failedMs = longestRun(own, "failed");
  const known = acceptMs + permitMs + roomMs + runMs + failedMs;
  sum.jobs++;
  sum.totalMs += totalMs;
  sum.parts[Part.Accept] += acceptMs;
  sum.parts[Part.Permit] += permitMs;
  sum.parts[Part.Room] += roomMs;
  sum.parts[Part.Run] += runMs;
  sum.parts[Part.Failed] += failedMs;
  sum.parts[Part.Other] += Math.max(0, totalMs - known);
}

/** The longest run of each stage with this end, one after the other. */
function longestRun(own: readonly LogLine[], end: string): number {
  const byStage = new Map<string, number>();
  for (const { message, fields } of own) {
    if (message === "Attempt ended" && fields.end === end) {
      const stage = String(fields.task).split(".").slice(0, 3).join(".");
      const ranMs = Number(fields.ranMs ?? 0);
      byStage.set(stage, Math.max(byStage.get(stage) ?? 0, ranMs));
    }
  }
  return [...byStage.values()].reduce((sum, ranMs) => sum + ranMs, 0);
}

function describe(name: string, sum: Sum): Breakdown {
  const mean = (value: number) => sum.jobs === 0 ? 0 : value / sum.jobs;
  return {
    name,
    jobs: sum.jobs,
    open: sum.open,
    totalMs: mean(sum.totalMs),
    meanMs: {
      [Part.Accept]: mean(sum.parts[Part.Accept]),
      [Part.Permit]: mean(sum.parts[Part.Permit]),
      [Part.Room]: mean(sum.parts[Part.Room]),
      [Part.Run]: mean(sum.parts[Part.Run]),
      [Part.Failed]: mean(sum.parts[Part.Failed]),
      [Part.Other]: mean(sum.parts[Part.Other]),
    },
  };
}
