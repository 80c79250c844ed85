import {
  audit,
  type Fleet,
  jobIdOf,
  type MatchedRun,
  type SubmittedJob,
} from "@mustardweir/demo";
import { EndReason, JobKind, JobState, Outcome } from "@mustardweir/model";
import { expectedAnswer } from "./load.ts";

/** Violations found at the end of a trial; all lists are empty if none were. */
export interface Verdict {
  /**
   * Jobs that were refused or not run though they had to run, that have not
   * ended, or that are reported done without a completed run of every task.
   */
  readonly lost: readonly string[];
  /** Overlapping attempts of a task, or repeats of work that must run once. */
  readonly doubled: readonly string[];
  /** Excesses over a team's ceiling or an instance's capacity. */
  readonly overLimit: readonly string[];
  /**
   * Jobs reported not run that ran, idempotent jobs reported unknown, and
   * accepted jobs with a wrong id.
   */
  readonly untrue: readonly string[];
  /** Answers that are truncated or belong to another request. */
  readonly crossed: readonly string[];
}

/** The results that submitters received, and the runs of the workers. */
export interface VerdictOptions {
  readonly fleet: Fleet;
  readonly stories: readonly SubmittedJob[];
  readonly runs: readonly MatchedRun[];
  /** Teams whose submissions may end in a refusal. */
  readonly mayRefuse?: ReadonlySet<string>;
}

/**
 * Compares the results that submitters received with the runs of the workers.
 *
 * @example
 * ```ts
 * const verdict = computeVerdict({ fleet, stories, runs });
 * ```
 */
export function computeVerdict(options: VerdictOptions): Verdict {
  const { fleet, stories, runs, mayRefuse = new Set() } = options;
  const runsOf = groupBySubmittedJob(runs);
  const results = stories.map((submitted) => ({
    submitted,
    runs: runsOf.get(submitted) ?? [],
    mayRefuse: mayRefuse.has(submitted.job.team),
  }));
  const { duplicateRuns: doubled, overLimit } = audit(fleet, stories, runs);
  return {
    lost: results.filter(isLost).map(describe),
    doubled,
    overLimit,
    untrue: results.filter(isUntrue).map(describe),
    crossed: results.filter(isCrossed).map(describe),
  };
}

/** A job with the result that its submitter received and its runs. */
interface JobResult {
  readonly submitted: SubmittedJob;
  readonly runs: readonly MatchedRun[];
  readonly mayRefuse: boolean;
}

function groupBySubmittedJob(
  runs: readonly MatchedRun[],
): Map<SubmittedJob, MatchedRun[]> {
  const groups = new Map<SubmittedJob, MatchedRun[]>();
  for (const run of runs) {
    groups.set(run.submitted, [...groups.get(run.submitted) ?? [], run]);
  }
  return groups;
}

function isLost({ submitted, runs, mayRefuse }: JobResult): boolean {
  const { status, job, accepted } = submitted;
  if (!accepted) {
    return !isRefused(submitted) || !(mayRefuse || job.takesRefusal);
  }
  if (status?.state !== JobState.Ended) {
    return true;
  }
  switch (status.outcome) {
    case Outcome.Done:
      return status.reason !== EndReason.Completed ||
        countCompletedTasks(runs) < job.spec.tasks;
    case Outcome.NotRun:
      // Only the caller of a request waits for a limited time.
      return job.spec.kind !== JobKind.Request ||
        status.reason !== EndReason.DeadlinePassed;
    default:
      return false;
  }
}

/** Returns whether a job was refused as not run and no call left that open. */
function isRefused({ refusedOutcome, unclear }: SubmittedJob): boolean {
  return refusedOutcome === Outcome.NotRun && !unclear;
}

function countCompletedTasks(runs: readonly MatchedRun[]): number {
  const completed = runs.filter(({ reason }) => reason === EndReason.Completed);
  return new Set(completed.map(({ taskId }) => parseTaskName(taskId))).size;
}

/** Returns a task id without the part that names the attempt. */
function parseTaskName(taskId: string): string {
  return taskId.slice(0, taskId.indexOf(".", taskId.lastIndexOf("#")));
}

function isUntrue({ submitted, runs }: JobResult): boolean {
  const { status, job, accepted } = submitted;
  if (accepted && status?.jobId !== jobIdOf(submitted)) {
    return true;
  }
  const notRun = accepted
    ? status?.outcome === Outcome.NotRun
    : isRefused(submitted);
  const unknown = accepted && status?.outcome === Outcome.Unknown;
  return (notRun && runs.length > 0) || (unknown && job.spec.idempotent);
}

function isCrossed({ submitted }: JobResult): boolean {
  const { status, job } = submitted;
  return job.spec.kind === JobKind.Request &&
    status?.outcome === Outcome.Done &&
    status.answer !== expectedAnswer(job);
}

function describe({ submitted, runs }: JobResult): string {
  const { job, accepted, status, refusal } = submitted;
  const result = accepted
    ? JSON.stringify(status)
    : `refused ${refusal} ${submitted.refusedOutcome}`;
  const places = runs.map(({ instanceId, reason }) =>
    `${instanceId} ${reason ?? "running"}`
  );
  return `${job.team} ${job.idempotencyKey}: reported ${result}; ran on ${
    places.join(", ") || "no instance"
  }`;
}
