import { findJobId, type LogLine } from "./log_lines.ts";

/** The state of a job at the end of the logs. */
export enum Fate {
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
  Refused = "refused",
  /** Accepted; its end is not in the logs. */
  Open = "open",
  /** No log line refers to it. */
  NotLogged = "unheard",
}

/** What the logs contain on one job. */
export interface JobSummary {
  readonly jobId: string;
  readonly fate: Fate;
  /** One sentence: why it ended like this, or what it waits for. */
  readonly cause: string;
  /** Lines on the job, and on changes of the domain's owner meanwhile. */
  readonly lines: readonly LogLine[];
}

/** Messages on the domain's owner, which explain delays of jobs. */
const DOMAIN_MESSAGES = new Set([
  "Domain taken over",
  "Domain given up",
  "Claiming the domain",
]);

/**
 * Summarizes what happened to a job, from the log lines of all nodes.
 *
 * @example
 * ```ts
 * const { cause } = summarizeJob(lines, "5c0e7a21d94b36f8");
 * ```
 */
export function summarizeJob(
  lines: readonly LogLine[],
  jobId: string,
): JobSummary {
  const jobLines = lines.filter((line) => findJobId(line) === jobId);
  const [first] = jobLines;
  const last = jobLines.at(-1);
  if (first === undefined || last === undefined) {
    return {
      jobId,
      fate: Fate.NotLogged,
      cause: "No line names the job: it reached no node whose log is here",
      lines: [],
    };
  }
  const fate = determineFate(jobLines);
  const untilMs = fate === Fate.Open ? Infinity : last.timeMs;
  const ownerChanges = lines.filter((line) =>
    DOMAIN_MESSAGES.has(line.message) && line.timeMs >= first.timeMs &&
    line.timeMs <= untilMs
  );
  const shown = [...jobLines, ...ownerChanges].sort((a, b) =>
    a.timeMs - b.timeMs
  );
  return {
    jobId,
    fate,
    cause: determineCause(fate, jobLines, ownerChanges),
    lines: shown,
  };
}

function determineFate(own: readonly LogLine[]): Fate {
  const ended = findLast(own, "Job ended");
  if (ended !== undefined) {
    const state = ended.fields.state;
    return state === Fate.Failed || state === Fate.Cancelled
      ? state
      : Fate.Completed;
  }
  return findLast(own, "Job accepted") === undefined ? Fate.Refused : Fate.Open;
}

function determineCause(
  fate: Fate,
  own: readonly LogLine[],
  around: readonly LogLine[],
): string {
  switch (fate) {
    case Fate.Refused:
      return describeRefusal(own);
    case Fate.Failed:
      return describeFailure(own);
    case Fate.Cancelled:
      return "The submitter cancelled it";
    case Fate.Completed:
      return describeCompletion(own, around);
    default:
      return describeOpenJob(own);
  }
}

function describeRefusal(own: readonly LogLine[]): string {
  const refused = findLast(own, "Job refused");
  if (refused !== undefined) {
    return `Refused: ${refused.fields.reason}`;
  }
  const turnedAway = findLast(own, "Job turned away");
  if (turnedAway !== undefined) {
    const { reason, waitMs, figuresAgeMs } = turnedAway.fields;
    return `Turned away: ${reason}; ` +
      `${waitMs} ms by figures of ${figuresAgeMs} ms before`;
  }
  const givenUp = findLast(own, "Call given up");
  return givenUp === undefined
    ? "No acceptance is logged; the node may have ended while it was written"
    : `The store did not answer ${givenUp.node} while ${givenUp.fields.step}` +
      (givenUp.fields.uncertain === true ? "; the job may exist" : "");
}

function describeFailure(own: readonly LogLine[]): string {
  const failures = own.filter(isFailure);
  const last = failures.at(-1);
  const workers = new Set(failures.map(({ fields }) => fields.worker));
  return last === undefined
    ? "A task used up its attempts under earlier owners"
    : `Task ${last.fields.task} failed too often; ` +
      `${failures.length} failures on ${workers.size} workers in these logs`;
}

/** Returns the total time of a completed job, and what may have delayed it. */
function describeCompletion(
  own: readonly LogLine[],
  around: readonly LogLine[],
): string {
  const accepted = own.find((line) => line.message === "Job accepted");
  const started = own.find((line) => line.message === "Start ordered");
  const ended = findLast(own, "Job ended")!;
  const tookMs = Number(ended.fields.ageMs ?? 0);
  const parts: string[] = [];
  if (accepted !== undefined && started !== undefined) {
    parts.push(`${started.timeMs - accepted.timeMs} ms until the first start`);
  }
  const failures = own.filter(isFailure).length;
  const lost = own.filter(({ message }) => message === "Attempt lost").length;
  const refused = own.filter(({ message }) => message === "Start not taken")
    .length;
  if (failures > 0) {
    parts.push(`${failures} attempts failed`);
  }
  if (lost > 0) {
    parts.push(`${lost} attempts were lost with their workers`);
  }
  if (refused > 0) {
    parts.push(`${refused} starts were not taken`);
  }
  if (around.some(({ message }) => message === "Domain taken over")) {
    parts.push("the domain changed its owner meanwhile");
  }
  return `Completed after ${tookMs} ms: ${parts.join(", ")}`;
}

function describeOpenJob(own: readonly LogLine[]): string {
  const last = own.at(-1)!;
  const granted = findLast(own, "Permits granted");
  const started = own.some(({ message }) => message === "Start ordered");
  if (!started && granted?.fields.good === 0) {
    return "It waits: the placement policy allows none of the " +
      `${granted.fields.asked} workers that were asked about`;
  }
  return started
    ? `It has not ended; the last log message is: ${last.message}`
    : `It has not started; the last log message is: ${last.message}`;
}

function isFailure({ message, fields }: LogLine): boolean {
  return message === "Attempt ended" && fields.end === "failed";
}

function findLast(
  lines: readonly LogLine[],
  message: string,
): LogLine | undefined {
  return lines.findLast((line) => line.message === message);
}
