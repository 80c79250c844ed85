import { jobOf, type LogLine } from "./log_lines.ts";

/** What became of a job. */
export enum Fate {
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
  Refused = "refused",
  /** Accepted, with no end in the logs. */
  Open = "open",
  /** No line names it. */
  Unheard = "unheard",
}

/** A job as the logs tell it. */
export interface Story {
  readonly jobId: string;
  readonly fate: Fate;
  /** Why it ended so, or what it waits for, in one sentence. */
  readonly cause: string;
  /** Lines about the job, and about owners of the domain meanwhile. */
  readonly lines: readonly LogLine[];
}

/** Lines about the domain that explain gaps in a story. */
const DOMAIN_MESSAGES = new Set([
  "Domain taken over",
  "Domain given up",
  "Claiming the domain",
]);

/**
 * Tells the story of a job from the lines of all nodes.
 *
 * @example
 * ```ts
 * const { cause } = tellStory(lines, "5c0e7a21d94b36f8");
 * ```
 */
export function tellStory(
  lines: readonly LogLine[],
  jobId: string,
): Story {
  const own = lines.filter((line) => jobOf(line) === jobId);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) {
    return {
      jobId,
      fate: Fate.Unheard,
      cause: "No line names the job: it reached no node whose log is here",
      lines: [],
    };
  }
  const fate = fateOf(own);
  const untilMs = fate === Fate.Open ? Infinity : last.timeMs;
  const around = lines.filter((line) =>
    DOMAIN_MESSAGES.has(line.message) && line.timeMs >= first.timeMs &&
    line.timeMs <= untilMs
  );
  const told = [...own, ...around].sort((a, b) => a.timeMs - b.timeMs);
  return { jobId, fate, cause: causeOf(fate, own, around), lines: told };
}

function fateOf(own: readonly LogLine[]): Fate {
  const ended = findLast(own, "Job ended");
  if (ended !== undefined) {
    const state = ended.fields.state;
    return state === Fate.Failed || state === Fate.Cancelled
      ? state
      : Fate.Completed;
  }
  return findLast(own, "Job accepted") === undefined ? Fate.Refused : Fate.Open;
}

function causeOf(
  fate: Fate,
  own: readonly LogLine[],
  around: readonly LogLine[],
): string {
  switch (fate) {
    case Fate.Refused:
      return refusalCause(own);
    case Fate.Failed:
      return failureCause(own);
    case Fate.Cancelled:
      return "The submitter cancelled it";
    case Fate.Completed:
      return delayCause(own, around);
    default:
      return openCause(own);
  }
}

function refusalCause(own: readonly LogLine[]): string {
  const refused = findLast(own, "Job refused");
  if (refused !== undefined) {
    return `Refused: ${refused.fields.reason}`;
  }
  const givenUp = findLast(own, "Call given up");
  return givenUp === undefined
    ? "No acceptance is logged; the node may have ended while it was written"
    : `The store did not answer ${givenUp.node} while ${givenUp.fields.step}` +
      (givenUp.fields.uncertain === true ? "; the job may exist" : "");
}

function failureCause(own: readonly LogLine[]): string {
  const failures = own.filter(isFailure);
  const last = failures.at(-1);
  const workers = new Set(failures.map(({ fields }) => fields.worker));
  return last === undefined
    ? "A task used up its attempts under earlier owners"
    : `Task ${last.fields.task} failed too often; ` +
      `${failures.length} failures on ${workers.size} workers in these logs`;
}

/** Names the largest part of the time between acceptance and the end. */
function delayCause(
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

function openCause(own: readonly LogLine[]): string {
  const last = own.at(-1)!;
  const granted = findLast(own, "Permits granted");
  const started = own.some(({ message }) => message === "Start ordered");
  if (!started && granted?.fields.good === 0) {
    return "It waits: the placement policy allows none of the " +
      `${granted.fields.asked} workers that were asked about`;
  }
  return started
    ? `It has not ended; the last that is known: ${last.message}`
    : `It has not started; the last that is known: ${last.message}`;
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
