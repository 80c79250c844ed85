import type { Update } from "@mustardweir/kernel";
import {
  findValidPermit,
  queryPermits,
  stagePermits,
} from "@mustardweir/permits";
import type { StageRun } from "./dispatch_state.ts";
import {
  type Candidate,
  fitsNow,
  fitsWhenEmpty,
  hasRequiredLabel,
} from "./candidates.ts";
import { fitsAfterPreemption } from "./preemption.ts";

/** Most workers named in one permit query, below the policy's limit of 100. */
const MAX_WORKERS_PER_QUERY = 40;
/**
 * Most expired permits that one query renews. Most of a query's time is a fixed
 * cost, so several are renewed together.
 */
const MAX_RENEWED_PERMITS = 12;

/** A stage with waiting tasks and the workers of its pool. */
export interface PlacementContext {
  readonly stage: StageRun;
  readonly rank: number;
  readonly preempts: boolean;
  readonly candidates: readonly Candidate[];
}

/**
 * Returns the candidates with a valid permit for the stage; queries the policy
 * if none of them can start a task.
 */
export function permittedCandidates(
  update: Update,
  context: PlacementContext,
): readonly Candidate[] {
  const { stage, candidates } = context;
  if (stage.job.record.queue.permits === undefined) {
    return candidates;
  }
  const held = candidates.filter(({ session }) =>
    findValidPermit(update, stage.name, session.info.id) !== undefined
  );
  if (!held.some((candidate) => canStartTask(candidate, context))) {
    queryMorePermits(update, context);
  }
  return held;
}

/**
 * Queries the policy about workers without a valid permit that could run the
 * stage.
 */
export function queryMorePermits(
  update: Update,
  context: PlacementContext,
): void {
  const { stage, rank, candidates } = context;
  const { permits: policy } = stage.job.record.queue;
  if (policy === undefined) {
    return;
  }
  const known = stagePermits(update, stage.name);
  if (known.isQueryPending) {
    return;
  }
  const withoutPermit = candidates.filter((candidate) =>
    hasRequiredLabel(candidate, stage) && fitsWhenEmpty(stage, candidate) &&
    findValidPermit(update, stage.name, candidate.session.info.id) === undefined
  );
  const unjudged = withoutPermit.filter(({ session }) =>
    !known.judged.has(session.info.id)
  );
  const expired = withoutPermit.filter(({ session }) =>
    known.good.has(session.info.id)
  );
  // A permit is valid for a short time only, so there is no query while no task
  // could start. Other workers are included because they may get room while the
  // permit is valid, and verdicts never change.
  const isUseful = [...expired, ...unjudged].some((candidate) =>
    canStartTask(candidate, context)
  );
  const workersToQuery = isUseful
    ? [
      ...expired.sort(byFreeCpu).slice(0, MAX_RENEWED_PERMITS),
      ...unjudged.sort(byFreeCpu),
    ].slice(0, MAX_WORKERS_PER_QUERY)
    : [];
  queryPermits(update, {
    stage: stage.name,
    workers: workersToQuery.map(({ session }) => session.info.id),
    policy,
    rank,
  });
}

/** Returns whether a task of the stage fits now or after a preemption. */
export function canStartTask(
  candidate: Candidate,
  { stage, preempts }: PlacementContext,
): boolean {
  return fitsNow(candidate, stage) ||
    (preempts && fitsAfterPreemption(candidate, stage));
}

function byFreeCpu(a: Candidate, b: Candidate): number {
  return b.free.cpuMillis - a.free.cpuMillis;
}
