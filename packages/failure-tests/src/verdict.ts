import {
  audit,
  type Fleet,
  jobIdOf,
  type JobStory,
  type MatchedRun,
} from "@mustardweir/demo";
import { EndReason, JobKind, JobState, Outcome } from "@mustardweir/model";
import { expectedAnswer } from "./load.ts";

/** What was wrong at the end of a trial; empty lists when nothing was. */
export interface Verdict {
  /** Accepted work that has not ended, or was told done and did not run. */
  readonly lost: readonly string[];
  readonly doubled: readonly string[];
  readonly overLimit: readonly string[];
  /** Told "not run" of work that ran, or "unknown" of what may run again. */
  readonly untrue: readonly string[];
  /** Answers that are not whole or belong to another request. */
  readonly crossed: readonly string[];
}

/** What callers were told, and what workers ran. */
export interface VerdictOptions {
  readonly fleet: Fleet;
  readonly stories: readonly JobStory[];
  readonly runs: readonly MatchedRun[];
  /** Teams whose submissions may be refused for good. */
  readonly mayRefuse?: ReadonlySet<string>;
}

/**
 * Compares what submitters were told with what workers ran.
 *
 * @example
 * ```ts
 * const verdict = judge({ fleet, stories, runs });
 * ```
 */
export function judge(options: VerdictOptions): Verdict {
  const { fleet, stories, runs, mayRefuse = new Set() } = options;
  const runsOf = groupByStory(runs);
  const told = stories.map((story) => ({
    story,
    runs: runsOf.get(story) ?? [],
    mayRefuse: mayRefuse.has(story.job.team),
  }));
  const { doubled, overLimit } = audit(fleet, stories, runs);
  return {
    lost: told.filter(isLost).map(describe),
    doubled,
    overLimit,
    untrue: told.filter(isUntrue).map(describe),
    crossed: told.filter(isCrossed).map(describe),
  };
}

/** One job: what the submitter was told and what ran. */
interface Told {
  readonly story: JobStory;
  readonly runs: readonly MatchedRun[];
  readonly mayRefuse: boolean;
}

function groupByStory(
  runs: readonly MatchedRun[],
): Map<JobStory, MatchedRun[]> {
  const groups = new Map<JobStory, MatchedRun[]>();
  for (const run of runs) {
    groups.set(run.story, [...groups.get(run.story) ?? [], run]);
  }
  return groups;
}

function isLost({ story, runs, mayRefuse }: Told): boolean {
  const { status, job, accepted } = story;
  if (!accepted) {
    return !isRefused(story) || !(mayRefuse || job.takesRefusal);
  }
  if (status?.state !== JobState.Ended) {
    return true;
  }
  switch (status.outcome) {
    case Outcome.Done:
      return status.reason !== EndReason.Completed ||
        completedTasks(runs) < job.spec.tasks;
    case Outcome.NotRun:
      // Only a request has a caller who waits no longer than it says.
      return job.spec.kind !== JobKind.Request ||
        status.reason !== EndReason.DeadlinePassed;
    default:
      return false;
  }
}

/** Told, and never told otherwise, that it does not run. */
function isRefused({ refusedOutcome, unclear }: JobStory): boolean {
  return refusedOutcome === Outcome.NotRun && !unclear;
}

function completedTasks(runs: readonly MatchedRun[]): number {
  const completed = runs.filter(({ reason }) => reason === EndReason.Completed);
  return new Set(completed.map(({ taskId }) => taskNameOf(taskId))).size;
}

/** The task that a task id is an attempt of. */
function taskNameOf(taskId: string): string {
  return taskId.slice(0, taskId.indexOf(".", taskId.lastIndexOf("#")));
}

function isUntrue({ story, runs }: Told): boolean {
  const { status, job, accepted } = story;
  if (accepted && status?.jobId !== jobIdOf(story)) {
    return true;
  }
  const notRun = accepted
    ? status?.outcome === Outcome.NotRun
    : isRefused(story);
  const unknown = accepted && status?.outcome === Outcome.Unknown;
  return (notRun && runs.length > 0) || (unknown && job.spec.idempotent);
}

function isCrossed({ story }: Told): boolean {
  const { status, job } = story;
  return job.spec.kind === JobKind.Request &&
    status?.outcome === Outcome.Done &&
    status.answer !== expectedAnswer(job);
}

function describe({ story, runs }: Told): string {
  const { job, accepted, status, refusal } = story;
  const told = accepted
    ? JSON.stringify(status)
    : `refused ${refusal} ${story.refusedOutcome}`;
  const ran = runs.map(({ instanceId, reason }) =>
    `${instanceId} ${reason ?? "running"}`
  );
  return `${job.team} ${job.idempotencyKey}: told ${told}; ran ${
    ran.join(", ") || "nowhere"
  }`;
}
