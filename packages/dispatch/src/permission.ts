import type { Update } from "@mustardweir/kernel";
import {
  findValidPermit,
  queryPermits,
  type StagePermits,
  stagePermits,
} from "@mustardweir/permits";
import type { AheadQuery } from "@mustardweir/reservations";
import type { StageRun } from "./dispatch_state.ts";
import { CANDIDATES } from "./candidate_index.ts";
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
/**
 * Most workers among which those for a query, or for tasks of a queue without a
 * policy, are chosen. They start at a random one, so that all get their turn.
 */
const MAX_CONSIDERED = 80;

const NO_QUERY: AheadQuery = {
  isReserved: false,
  renewed: [],
  judgesMore: false,
};

/** A stage with waiting tasks and the workers of its pool. */
export interface PlacementContext {
  readonly stage: StageRun;
  readonly rank: number;
  readonly preempts: boolean;
  readonly candidates: readonly Candidate[];
}

/**
 * Returns the candidates on which the stage may run: those with a valid permit,
 * or a selection of all if its queue has no policy.
 */
export function permittedCandidates(
  update: Update,
  context: PlacementContext,
): readonly Candidate[] {
  const { stage, candidates } = context;
  if (stage.job.record.queue.permits === undefined) {
    return stage.spec.gang || candidates.length <= MAX_CONSIDERED
      ? candidates
      : selectCandidates(
        update,
        candidates,
        (candidate) => canStartTask(candidate, context),
      );
  }
  const index = update.read(CANDIDATES);
  const held: Candidate[] = [];
  for (const workerId of stagePermits(update, stage.name).good.keys()) {
    const candidate = index.find(workerId);
    if (
      candidate !== undefined &&
      findValidPermit(update, stage.name, workerId) !== undefined
    ) {
      held.push(candidate);
    }
  }
  return held;
}

/**
 * Queries the policy about workers without a valid permit that could run the
 * stage, and about what `ahead` names, since room is held for the stage.
 */
export function queryMorePermits(
  update: Update,
  context: PlacementContext,
  ahead: AheadQuery = NO_QUERY,
): void {
  const { stage, rank } = context;
  const { permits: policy } = stage.job.record.queue;
  const known = stagePermits(update, stage.name);
  if (policy === undefined || known.isQueryPending) {
    return;
  }
  const { isReserved, renewed, judgesMore } = ahead;
  // Each worker in a query delays the reply to a stage whose room is held.
  const expired = isReserved ? [] : listExpired(update, stage, known);
  const unjudged = renewed.length > 0
    ? []
    : listUnjudged(update, context, known);
  // A permit is valid for a short time only, so there is no query while no task
  // could start. Other workers are included because they may get room while the
  // permit is valid, and verdicts never change.
  const isUseful = (judgesMore && unjudged.length > 0) ||
    [...expired, ...unjudged].some((candidate) =>
      canStartTask(candidate, context)
    );
  const others = isUseful
    ? [
      ...expired.sort(byFreeCpu).slice(0, MAX_RENEWED_PERMITS),
      ...unjudged.sort(byFreeCpu),
    ]
    : [];
  queryPermits(update, {
    stage: stage.name,
    workers: [...renewed, ...others.map(({ session }) => session.info.id)]
      .slice(0, MAX_WORKERS_PER_QUERY),
    policy,
    rank,
  });
}

/** Returns the workers that are good for the stage but whose permit is over. */
function listExpired(
  update: Update,
  stage: StageRun,
  known: StagePermits,
): Candidate[] {
  const index = update.read(CANDIDATES);
  const expired: Candidate[] = [];
  for (const workerId of known.good.keys()) {
    const candidate = index.find(workerId);
    if (
      candidate !== undefined &&
      findValidPermit(update, stage.name, workerId) === undefined
    ) {
      expired.push(candidate);
    }
  }
  return expired;
}

/** Returns workers for which the policy has given no verdict yet. */
function listUnjudged(
  update: Update,
  { stage, candidates }: PlacementContext,
  known: StagePermits,
): Candidate[] {
  return selectCandidates(
    update,
    candidates,
    (candidate) =>
      hasRequiredLabel(candidate, stage) && fitsWhenEmpty(stage, candidate) &&
      !known.judged.has(candidate.session.info.id),
  );
}

/** Returns some candidates for which `isWanted` holds. */
function selectCandidates(
  update: Update,
  candidates: readonly Candidate[],
  isWanted: (candidate: Candidate) => boolean,
): Candidate[] {
  const selected: Candidate[] = [];
  const first = candidates.length > MAX_CONSIDERED
    ? update.random.below(candidates.length)
    : 0;
  for (
    let count = 0;
    count < candidates.length && selected.length < MAX_CONSIDERED;
    count++
  ) {
    const candidate = candidates[(first + count) % candidates.length]!;
    if (isWanted(candidate)) {
      selected.push(candidate);
    }
  }
  return selected;
}

/** Returns whether a task of the stage fits now or after a preemption. */
export function canStartTask(
  candidate: Candidate,
  { stage, preempts }: Pick<PlacementContext, "stage" | "preempts">,
): boolean {
  return fitsNow(candidate, stage) ||
    (preempts && fitsAfterPreemption(candidate, stage));
}

function byFreeCpu(a: Candidate, b: Candidate): number {
  return b.free.cpuMillis - a.free.cpuMillis;
}
