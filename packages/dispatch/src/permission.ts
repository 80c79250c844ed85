import type { Update } from "@mustardweir/kernel";
import {
  type GrantedPermit,
  queryPermits,
  type StagePermits,
  stagePermits,
} from "@mustardweir/permits";
import {
  type AheadQuery,
  RenewalScope,
  renewalScope,
} from "@mustardweir/reservations";
import { reservedSize, type StageRun } from "./dispatch_state.ts";
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

const NO_CANDIDATES: readonly Candidate[] = [];

/** A stage with waiting tasks and the workers of its pool. */
export interface PlacementContext {
  readonly stage: StageRun;
  readonly rank: number;
  readonly preempts: boolean;
  /** Whether the stage may use any room of the pool that is held. */
  readonly isHeldRoomOpen: boolean;
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
        candidates,
        firstConsidered(update, candidates),
        (candidate) => canStartTask(candidate, context),
      );
  }
  const index = update.read(CANDIDATES);
  const held: Candidate[] = [];
  for (const [workerId, permit] of stagePermits(update, stage.name).good) {
    const candidate = isValid(permit, update.now)
      ? index.find(workerId)
      : undefined;
    if (candidate !== undefined) {
      held.push(candidate);
    }
  }
  return held;
}

/**
 * Returns the workers on which a task of the stage could start now, whether or
 * not the stage may run there. In a backlog these are few, and a stage has
 * permits for many workers, so permits are looked up only for these.
 */
export function listStartable(
  update: Update,
  context: PlacementContext,
): readonly Candidate[] {
  return mayStartInPool(update, context)
    ? context.candidates.filter((candidate) => canStartTask(candidate, context))
    : NO_CANDIDATES;
}

/** Returns whether the stage may run on any of the startable workers. */
export function mayRunOnAny(
  update: Update,
  { stage, candidates }: PlacementContext,
  startable: readonly Candidate[],
): boolean {
  if (stage.job.record.queue.permits === undefined) {
    if (startable.length === 0 && !stage.spec.gang) {
      firstConsidered(update, candidates);
    }
    return startable.length > 0;
  }
  const { good } = stagePermits(update, stage.name);
  return startable.some(({ session }) =>
    isValid(good.get(session.info.id), update.now)
  );
}

/** Returns whether the stage has a valid permit for any worker. */
export function holdsPermit(update: Update, stage: StageRun): boolean {
  const index = update.read(CANDIDATES);
  for (const [workerId, held] of stagePermits(update, stage.name).good) {
    if (isValid(held, update.now) && index.find(workerId) !== undefined) {
      return true;
    }
  }
  return false;
}

function isValid(held: GrantedPermit | undefined, now: number): boolean {
  return held !== undefined && held.validUntilMs > now;
}

/**
 * Returns false if no worker of the pool has room for a task of the stage, even
 * after preemptions if those are allowed.
 */
function mayStartInPool(
  update: Update,
  { stage, preempts, isHeldRoomOpen }: PlacementContext,
): boolean {
  const { pool } = stage.job.record.queue;
  return update.read(CANDIDATES).mayStart(pool, {
    size: reservedSize(stage),
    preempts,
    isHeldRoomOpen,
  });
}

/**
 * Queries the policy about workers without a valid permit that could run the
 * stage, and about what `ahead` names, since room is held for the stage.
 * `startable` is what {@link listStartable} returns now, if it is known.
 */
export function queryMorePermits(
  update: Update,
  context: PlacementContext,
  { ahead = NO_QUERY, startable }: {
    readonly ahead?: AheadQuery | undefined;
    readonly startable?: readonly Candidate[];
  } = {},
): void {
  const { stage, rank } = context;
  const { permits: policy } = stage.job.record.queue;
  const known = stagePermits(update, stage.name);
  if (policy === undefined || known.isQueryPending) {
    return;
  }
  const { isReserved, renewed, judgesMore } = ahead;
  const first = firstConsidered(update, context.candidates);
  const withRoom = startable ?? listStartable(update, {
    ...context,
    isHeldRoomOpen: context.isHeldRoomOpen || isReserved,
  });
  const scope = renewalScope({ isReserved, isGang: stage.spec.gang });
  const isUseful = canQueryAny(withRoom, known, {
    renews: scope !== RenewalScope.None,
    now: update.now,
  });
  if (!isUseful && !judgesMore && renewed.length === 0) {
    return;
  }
  const expired = isUseful
    ? listExpired(update, known).filter((candidate) =>
      !renewed.includes(candidate.session.info.id) &&
      isRenewed(candidate, scope, withRoom)
    )
    : [];
  const unjudged = renewed.length === 0 && (isUseful || judgesMore)
    ? listUnjudged(context, known, first)
    : [];
  // A permit is valid for a short time only, so there is no query while no task
  // could start. Other workers are included because they may get room while the
  // permit is valid, and verdicts never change.
  const others = [
    ...expired.sort(byFreeCpu).slice(0, MAX_RENEWED_PERMITS),
    ...unjudged.sort(byFreeCpu),
  ];
  queryPermits(update, {
    stage: stage.name,
    workers: [...renewed, ...others.map(({ session }) => session.info.id)]
      .slice(0, MAX_WORKERS_PER_QUERY),
    policy,
    rank,
  });
}

/** Returns whether the policy can be asked about any of the startable workers. */
function canQueryAny(
  startable: readonly Candidate[],
  { judged, good }: StagePermits,
  { renews, now }: { readonly renews: boolean; readonly now: number },
): boolean {
  return startable.some(({ session: { info: { id } } }) =>
    !judged.has(id) ||
    (renews && good.has(id) && !isValid(good.get(id), now))
  );
}

/** Returns whether a query with this scope renews the permit of the worker. */
function isRenewed(
  candidate: Candidate,
  scope: RenewalScope,
  startable: readonly Candidate[],
): boolean {
  return scope === RenewalScope.All ||
    (scope === RenewalScope.Startable && startable.includes(candidate));
}

/** Returns the workers that are good for the stage but whose permit is over. */
function listExpired(update: Update, known: StagePermits): Candidate[] {
  const index = update.read(CANDIDATES);
  const expired: Candidate[] = [];
  for (const [workerId, permit] of known.good) {
    const candidate = isValid(permit, update.now)
      ? undefined
      : index.find(workerId);
    if (candidate !== undefined) {
      expired.push(candidate);
    }
  }
  return expired;
}

/** Returns workers for which the policy has given no verdict yet. */
function listUnjudged(
  { stage, candidates }: PlacementContext,
  known: StagePermits,
  first: number,
): Candidate[] {
  return selectCandidates(
    candidates,
    first,
    (candidate) =>
      hasRequiredLabel(candidate, stage) && fitsWhenEmpty(stage, candidate) &&
      !known.judged.has(candidate.session.info.id),
  );
}

/**
 * Returns the index of the candidate at which a selection starts. Drawn for each
 * stage that is examined, whether or not a selection follows, so that later draws
 * don't depend on shortcuts.
 */
function firstConsidered(
  update: Update,
  candidates: readonly Candidate[],
): number {
  return candidates.length > MAX_CONSIDERED
    ? update.random.below(candidates.length)
    : 0;
}

/** Returns some candidates for which `isWanted` holds, from an index on. */
function selectCandidates(
  candidates: readonly Candidate[],
  first: number,
  isWanted: (candidate: Candidate) => boolean,
): Candidate[] {
  const selected: Candidate[] = [];
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
