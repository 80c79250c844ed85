import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  dominantShare,
  type FleetTeam,
  NO_RESOURCES,
  type Resources,
} from "@mustardweir/model";
import { REPLICA, storeNow, unixNow } from "@mustardweir/replica";
import { SESSIONS } from "@mustardweir/sessions";
import {
  DISPATCH_STATE,
  isOpen,
  isReady,
  isStageDone,
  type StageRun,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import {
  type Candidate,
  clearReservations,
  listCandidates,
} from "./candidates.ts";
import { withinCeiling } from "./ceilings.ts";
import {
  BestFitRule,
  GangRule,
  type PlacementRule,
} from "./placement_rules.ts";
import {
  canStartTask,
  permittedCandidates,
  queryMorePermits,
} from "./permission.ts";
import { mayPreempt, preemptFor } from "./preemption.ts";
import { startTasks } from "./starts.ts";
import {
  ObjectiveRanking,
  objectiveStatusOf,
  type StageRanking,
} from "./turn_order.ts";

/** Shortest time between two placement passes, in milliseconds. */
const MIN_PASS_INTERVAL_MS = 8;
/**
 * Share assumed for a team with a share of 0, which puts it after all other
 * teams.
 */
const MIN_SHARE = 1e-6;
/**
 * Most tasks of a team that are placed before the usage of all teams is
 * compared again.
 */
const TASK_BATCH_SIZE = 16;

const BEST_FIT = new BestFitRule();
const GANG = new GangRule();
const RANKING: StageRanking = new ObjectiveRanking();

/** A stage with tasks that wait for a worker. */
interface WaitingStage {
  readonly stage: StageRun;
  readonly waiting: TaskRun[];
  readonly team: string;
  /** Stages of a lower rank are placed first. */
  readonly rank: number;
  /** Whether less urgent tasks may be preempted for the stage. */
  readonly preempts: boolean;
}

/**
 * Requests a placement pass and runs it at once unless the last one was too
 * recent.
 */
export function requestPlacementPass(update: Update): void {
  const state = update.write(DISPATCH_STATE);
  state.isDirty = true;
  if (update.now - state.lastPassMs >= MIN_PASS_INTERVAL_MS) {
    runPlacementPass(update);
  }
}

/**
 * Places waiting tasks by rank; within a rank, the team with the lowest usage
 * relative to its share goes first.
 */
export function runPlacementPass(update: Update): void {
  const state = update.write(DISPATCH_STATE);
  if (!state.isActive || !state.isDirty) {
    return;
  }
  state.isDirty = false;
  state.lastPassMs = update.now;
  const byPool = listCandidates(update);
  const total = totalCapacity(byPool);
  const stages = listWaitingStages(update);
  const teams = new Map(
    update.read(REPLICA).desired?.teams.map((team) => [team.name, team]) ?? [],
  );
  const share = (team: string) =>
    dominantShare(state.used.get(team) ?? NO_RESOURCES, total) /
    Math.max(teams.get(team)?.share ?? 1, MIN_SHARE);
  const ranks = [...new Set(stages.map((entry) => entry.rank))]
    .sort((a, b) => a - b);
  for (const rank of ranks) {
    const byTeam = groupByTeam(stages.filter((entry) => entry.rank === rank));
    while (byTeam.size > 0) {
      const team = [...byTeam.keys()].reduce((a, b) =>
        share(b) < share(a) ? b : a
      );
      const waiting = byTeam.get(team)!;
      const [next] = waiting;
      const placed = placeStage(update, next!, {
        candidates: byPool.get(next!.stage.job.record.queue.pool) ?? [],
        team: teams.get(team),
      });
      if (placed < TASK_BATCH_SIZE) {
        waiting.shift();
      }
      if (waiting.length === 0) {
        byTeam.delete(team);
      }
    }
  }
}

/** Groups stages by team and keeps their order. */
function groupByTeam(
  stages: readonly WaitingStage[],
): Map<string, WaitingStage[]> {
  const byTeam = new Map<string, WaitingStage[]>();
  for (const entry of stages) {
    const known = byTeam.get(entry.team);
    if (known === undefined) {
      byTeam.set(entry.team, [entry]);
    } else {
      known.push(entry);
    }
  }
  return byTeam;
}

function listWaitingStages(update: Update): WaitingStage[] {
  const poolsToReconcile = unreconciledPools(update);
  const clock = { storeMs: storeNow(update), unixMs: unixNow(update) };
  const stages: WaitingStage[] = [];
  for (const job of update.write(DISPATCH_STATE).jobs.values()) {
    if (!isOpen(job)) {
      continue;
    }
    const { pool } = job.record.queue;
    const isPoolUnreconciled = poolsToReconcile.has(pool) ||
      poolsToReconcile.has("");
    for (const stage of job.stages.values()) {
      if (isStageDone(stage) || !isReady(stage)) {
        continue;
      }
      const startable = stage.tasks.filter((task) =>
        task.phase === TaskPhase.Waiting && task.notBeforeMs <= update.now &&
        !(task.isInherited && isPoolUnreconciled)
      );
      const waiting = stage.spec.gang
        ? startableMembers(stage, startable)
        : startable;
      if (waiting.length > 0) {
        const status = objectiveStatusOf(stage, clock);
        stages.push({
          stage,
          waiting,
          team: job.record.team,
          rank: RANKING.rank(stage, status),
          preempts: mayPreempt(stage, status),
        });
      }
    }
  }
  return stages.sort((a, b) =>
    a.stage.job.record.acceptedMs - b.stage.job.record.acceptedMs
  );
}

/**
 * Returns the gang members that can start now: all of them, or, if the gang
 * runs, those whose start was refused.
 */
function startableMembers(stage: StageRun, startable: TaskRun[]): TaskRun[] {
  const running = stage.tasks.filter((task) => task.phase === TaskPhase.Placed);
  if (running.length === 0) {
    return startable.length === stage.tasks.length ? startable : [];
  }
  const isGangStopping = running.some((task) => task.isStopping);
  return isGangStopping
    ? []
    : startable.filter((task) => task.attempt === running[0]!.attempt);
}

/**
 * Returns pools in which the previous owner may have left tasks that are not
 * reported yet.
 */
function unreconciledPools(update: Update): Set<string> {
  const pools = new Set<string>();
  for (const session of update.read(SESSIONS).byWorker.values()) {
    if (session.isInherited) {
      pools.add(session.info.pool);
    }
  }
  return pools;
}

/** Places waiting tasks of the stage; returns the number of tasks placed. */
function placeStage(
  update: Update,
  { stage, waiting, rank, preempts }: WaitingStage,
  { candidates, team }: {
    readonly candidates: readonly Candidate[];
    readonly team: FleetTeam | undefined;
  },
): number {
  const context = { stage, rank, preempts, candidates };
  if (!candidates.some((candidate) => canStartTask(candidate, context))) {
    return 0;
  }
  const isGang = stage.spec.gang;
  const wanted = withinCeiling(update, { stage, waiting, team });
  if (wanted.length === 0 || (isGang && wanted.length < waiting.length)) {
    return 0;
  }
  const allowed = permittedCandidates(update, context);
  if (allowed.length === 0) {
    return 0;
  }
  const rule: PlacementRule = isGang ? GANG : BEST_FIT;
  const placements = rule.choose(
    stage,
    isGang ? wanted : wanted.slice(0, TASK_BATCH_SIZE),
    allowed,
  );
  if (placements.length > 0) {
    startTasks(update, stage, placements);
    clearReservations(allowed, stage);
    waiting.splice(
      0,
      waiting.length,
      ...waiting.filter((task) => task.phase === TaskPhase.Waiting),
    );
  }
  if (placements.length < wanted.length) {
    queryMorePermits(update, context);
    if (preempts) {
      preemptFor(update, {
        stage,
        missing: wanted.length - placements.length,
        candidates: allowed,
      });
    }
  }
  return placements.length;
}

function totalCapacity(byPool: ReadonlyMap<string, Candidate[]>): Resources {
  return [...byPool.values()].flat()
    .map(({ session }) => session.info.capacity)
    .reduce(addResources, NO_RESOURCES);
}
