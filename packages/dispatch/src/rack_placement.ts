import type { Update } from "@mustardweir/kernel";
import {
  countFitting,
  countTasks,
  DecisionReason,
  expectedRest,
  LOCALITY,
  type Rack,
  type RackRequest,
  type RackWorker,
  relativeSize,
  reportWaitChange,
  type RunningTask,
} from "@mustardweir/locality";
import { findValidPermit, stagePermits } from "@mustardweir/permits";
import { count } from "@mustardweir/protocol";
import { expectedRun } from "@mustardweir/run-times";
import { CANDIDATES } from "./candidate_index.ts";
import {
  type Candidate,
  fitsNow,
  fitsWhenEmpty,
  hasRequiredLabel,
} from "./candidates.ts";
import {
  DISPATCH_STATE,
  findStage,
  findTask,
  reservedSize,
  type StageRun,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import type { PlacementContext } from "./permission.ts";
import type { Placement, PlacementRule } from "./placement_rules.ts";
import { isRemote } from "./run_reports.ts";
import { priorityOfRank } from "./turn_order.ts";
import { addWaiting, slackOf } from "./waiting.ts";

/** Mean and longest duration of a stop, in milliseconds. */
const STOP_MEAN_MS = 400;
const STOP_UPPER_MS = 900;

/**
 * Most stages whose tasks are counted as work that prefers a rack. Each has at
 * least one task, so a rack of 20 workers with 12 places each is exceeded.
 */
const MAX_COUNTED_STAGES = 256;

/** Placements of tasks, and the number of those that wait for their rack. */
export interface RackPlacements {
  readonly placements: Placement[];
  readonly waiting: number;
  /** Time at which the wait is given up, in milliseconds. */
  readonly untilMs: number;
}

/** Tasks to be placed and the workers on which their stage may run. */
interface TasksToPlace {
  readonly context: PlacementContext;
  readonly tasks: readonly TaskRun[];
  /** Most tasks that are placed; a gang is placed whole. */
  readonly most: number;
  readonly allowed: readonly Candidate[];
}

/**
 * Places tasks in their rack as far as it has room, and of the others those for
 * which no wait pays off. Stages without a rack are placed by the rule alone.
 */
export function placeByRack(
  update: Update,
  rule: PlacementRule,
  { context, tasks, most, allowed }: TasksToPlace,
): RackPlacements {
  const { stage } = context;
  // Members whose start was refused follow the others of their gang at once:
  // those hold their room meanwhile.
  if (!hasRack(stage) || isPartOfGangPlaced(stage)) {
    const placements = rule.choose(stage, tasks.slice(0, most), allowed);
    return { placements, waiting: 0, untilMs: 0 };
  }
  const near = rule.chooseNear(
    stage,
    tasks.slice(0, most),
    nearCandidates(update, stage, allowed),
  );
  const placed = new Set(near.map(({ task }) => task));
  const left = tasks.filter((task) => !placed.has(task));
  let away: Placement[] = [];
  let waiting = 0;
  let untilMs = 0;
  // The rack may have room for more than may be placed at a time.
  if (
    left.length > 0 && near.length < most &&
    hasRoomElsewhere(stage, left.length, allowed)
  ) {
    const { decisions, change } = update.write(LOCALITY).plan(
      createRequest(update, context, left.length),
      update.now,
    );
    if (change !== undefined) {
      reportWaitChange(update, change);
    }
    for (const decision of decisions) {
      if (decision.reason === DecisionReason.WaitUntil) {
        untilMs = decision.untilMs;
      }
    }
    waiting = countTasks(decisions, DecisionReason.WaitUntil);
    if (waiting < left.length) {
      const rest = left.slice(waiting, waiting + most - near.length);
      away = rule.choose(stage, rest, allowed);
    }
  }
  const placements = [...near, ...away];
  reportPlaced(update, near.length, away.length);
  const openTasks = stage.tasks.filter(({ phase }) =>
    phase === TaskPhase.Waiting
  );
  if (openTasks.length === placements.length) {
    const change = update.write(LOCALITY).noteAllPlaced(stage.name, update.now);
    if (change !== undefined) {
      reportWaitChange(update, change);
    }
  }
  return { placements, waiting, untilMs };
}

/**
 * Lets stages that wait for a rack be examined again if one of its workers was
 * lost or has got more room; to be called after the candidates were refreshed.
 */
export function wakeRackWaits(update: Update): void {
  const { waits } = update.read(LOCALITY);
  for (const rack of update.write(CANDIDATES).takeChangedRacks()) {
    for (const name of waits.stagesOf(rack)) {
      const stage = findStage(update, name);
      if (stage === undefined) {
        update.write(LOCALITY).waits.remove(name);
      } else {
        addWaiting(update, stage);
      }
    }
  }
}

/** Returns whether it matters to the stage in which rack its tasks run. */
function hasRack({ spec }: StageRun): boolean {
  return spec.preferredRack !== "" || (spec.gang && spec.sameRack);
}

function isPartOfGangPlaced({ spec, tasks }: StageRun): boolean {
  return spec.gang && tasks.some(({ phase }) => phase === TaskPhase.Placed);
}

/**
 * Returns whether the pool may have room now for a task, or for the whole gang;
 * without it there is nothing to decide.
 */
function hasRoomElsewhere(
  stage: StageRun,
  tasks: number,
  allowed: readonly Candidate[],
): boolean {
  const size = reservedSize(stage);
  let missing = stage.spec.gang ? tasks : 1;
  for (const candidate of allowed) {
    if (fitsNow(candidate, stage)) {
      missing -= countFitting(candidate.free, size);
    }
    if (missing <= 0) {
      return true;
    }
  }
  return false;
}

/**
 * Returns the workers among which those of the rack are chosen. Without permits
 * `allowed` may be a selection that lacks them.
 */
function nearCandidates(
  update: Update,
  { spec, job }: StageRun,
  allowed: readonly Candidate[],
): readonly Candidate[] {
  const { pool, permits } = job.record.queue;
  return permits === undefined && spec.preferredRack !== ""
    ? update.read(CANDIDATES).inRack(pool, spec.preferredRack)
    : allowed;
}

function createRequest(
  update: Update,
  { stage, rank }: PlacementContext,
  tasks: number,
): RackRequest {
  const { spec, job } = stage;
  const { queue } = job.record;
  const racks = spec.preferredRack === ""
    ? update.read(CANDIDATES).racksOf(queue.pool)
    : [spec.preferredRack];
  return {
    stage: stage.name,
    queue: queue.name,
    tasks,
    isGang: spec.gang,
    maxPerWorker: spec.maxPerWorker === 0 ? Infinity : spec.maxPerWorker,
    size: reservedSize(stage),
    nearMs: spec.lasting ? Infinity : expectedRun(update, {
      queue: queue.name,
      estimateMs: spec.estimateMs,
    }).meanMs,
    slackMs: slackOf(update, stage),
    rank,
    isUrgent: queue.priority === 0,
    yields: priorityOfRank(rank) === undefined,
    heldTasks: 0,
    racks: racks.map((name) => describeRack(update, { stage, name, rank })),
  };
}

function describeRack(
  update: Update,
  { stage, name, rank }: {
    readonly stage: StageRun;
    readonly name: string;
    readonly rank: number;
  },
): Rack {
  const { pool, permits } = stage.job.record.queue;
  const candidates = update.read(CANDIDATES).inRack(pool, name);
  const known = permits && stagePermits(update, stage.name);
  const workers = candidates.flatMap((candidate): RackWorker[] => {
    const { id, capacity } = candidate.session.info;
    const isRefused = known !== undefined && known.judged.has(id) &&
      !known.good.has(id);
    if (
      isRefused || !hasRequiredLabel(candidate, stage) ||
      !fitsWhenEmpty(stage, candidate)
    ) {
      return [];
    }
    const hasPermit = permits === undefined ||
      findValidPermit(update, stage.name, id) !== undefined;
    return [{
      id,
      capacity,
      free: candidate.free,
      maxTasks: placesLeft(stage, id),
      readyMs: hasPermit ? 0 : permits.decideMs + permits.perWorkerMs,
      running: listRunning(update, candidate),
    }];
  });
  return {
    name,
    usable: candidates.map(({ session }) => session.info.id),
    workers,
    queuedTasks: countQueued(update, { stage, rack: name, rank }),
  };
}

/** Returns {@link Rack.queuedTasks}; counts a bounded number of stages. */
function countQueued(
  update: Update,
  { stage, rack, rank }: {
    readonly stage: StageRun;
    readonly rack: string;
    readonly rank: number;
  },
): number {
  const { waits } = update.read(LOCALITY);
  const { pool } = stage.job.record.queue;
  const size = reservedSize(stage);
  let sum = 0;
  let counted = 0;
  const queued = update.read(DISPATCH_STATE).waiting
    .preferring({ pool, rack, rank });
  for (const other of queued) {
    const wait = waits.find(other.name);
    if (other !== stage && (wait === undefined || wait.ended !== undefined)) {
      const tasks = other.tasks.filter(({ phase }) =>
        phase === TaskPhase.Waiting
      );
      sum += tasks.length * relativeSize(reservedSize(other), size);
    }
    if (++counted >= MAX_COUNTED_STAGES) {
      break;
    }
  }
  return Math.ceil(sum);
}

/** Returns how many more tasks of the stage the worker may run. */
function placesLeft({ spec, tasks }: StageRun, workerId: string): number {
  return spec.maxPerWorker === 0
    ? Infinity
    : spec.maxPerWorker - tasks.filter((task) =>
      task.phase === TaskPhase.Placed && task.workerId === workerId
    ).length;
}

function listRunning(update: Update, { session }: Candidate): RunningTask[] {
  return [...session.attempts.values()].map(({ task: name, size }) => {
    const task = findTask(update, name);
    return {
      size,
      ...(task === undefined || task.stage.spec.lasting
        ? { meanMs: Infinity, upperMs: Infinity }
        : task.isStopping
        ? { meanMs: STOP_MEAN_MS, upperMs: STOP_UPPER_MS }
        : restOf(update, task)),
    };
  });
}

function restOf(update: Update, task: TaskRun) {
  const { stage: { spec, job }, placedMs, progressedMs, percent } = task;
  const queue = job.record.queue.name;
  const run = expectedRun(update, { queue, estimateMs: spec.estimateMs });
  const factor = hasRack(task.stage) && isRemote(update, task)
    ? update.read(LOCALITY).factorOf(queue) ?? 1
    : 1;
  return expectedRest({
    meanMs: factor * run.meanMs,
    upperMs: factor * run.upperMs,
    elapsedMs: update.now - placedMs,
    percent,
    sinceListedMs: update.now - progressedMs,
  });
}

function reportPlaced(update: Update, near: number, away: number): void {
  if (near > 0) {
    update.emit(count("rack-tasks-near", near));
  }
  if (away > 0) {
    update.emit(count("rack-tasks-away", away));
  }
}
