import { reservedSize, type StageRun, type TaskRun } from "./dispatch_state.ts";
import {
  admits,
  type Candidate,
  clearReservations,
  fitsNow,
  isSuspect,
  reserve,
} from "./candidates.ts";

/** A task and the worker on which it will start. */
export interface Placement {
  readonly task: TaskRun;
  readonly candidate: Candidate;
}

/** Weight of idle accelerators relative to processors in a score. */
const ACCELERATOR_WEIGHT = 4;
/**
 * Weight of a worker's slowness in a score; higher for urgent tasks, so that
 * they go to fast workers first.
 */
const URGENT_SLOWNESS_WEIGHT = 4;
const SLOWNESS_WEIGHT = 0.6;
/** Added to the score of a worker on which the task failed. */
const FAILED_PENALTY = 100;
/** Added to the score of a worker outside the rack of the task's data. */
const OTHER_RACK_PENALTY = 10;
/**
 * Added to the score of a worker that is held for another stage: work that may
 * start there delays the other stage only if there is no room elsewhere.
 */
const HELD_PENALTY = 7;

/** Added for each attempt beside which a task that crashes workers starts. */
const BLAST_PENALTY = 1_000;

/** Chooses workers for the tasks of a stage. */
export abstract class PlacementRule {
  /**
   * Returns a placement for each of `tasks` that fits on a worker, and reserves
   * its resources there. May be shorter than `tasks`.
   */
  abstract choose(
    stage: StageRun,
    tasks: readonly TaskRun[],
    candidates: readonly Candidate[],
  ): Placement[];

  /** The same, only where no task runs away from its rack. */
  abstract chooseNear(
    stage: StageRun,
    tasks: readonly TaskRun[],
    candidates: readonly Candidate[],
  ): Placement[];
}

/** Places each task independently on the worker with the best score. */
export class BestFitRule extends PlacementRule {
  override choose(
    stage: StageRun,
    tasks: readonly TaskRun[],
    candidates: readonly Candidate[],
  ): Placement[] {
    const placements: Placement[] = [];
    for (const task of tasks) {
      const candidate = findBestCandidate(stage, task, candidates);
      if (candidate === undefined) {
        // Another task may find room where a suspect must not start.
        if (isSuspect(task)) {
          continue;
        }
        break;
      }
      reserve(candidate, task);
      placements.push({ task, candidate });
    }
    return placements;
  }

  override chooseNear(
    stage: StageRun,
    tasks: readonly TaskRun[],
    candidates: readonly Candidate[],
  ): Placement[] {
    return this.choose(
      stage,
      tasks,
      candidates.filter(isInRack(stage.spec.preferredRack)),
    );
  }
}

/** Places all tasks or none, within one rack if the stage prefers that. */
export class GangRule extends PlacementRule {
  override choose(
    stage: StageRun,
    tasks: readonly TaskRun[],
    candidates: readonly Candidate[],
  ): Placement[] {
    if (stage.spec.sameRack) {
      const placements = placeInOneRack(stage, tasks, candidates);
      if (placements.length > 0) {
        return placements;
      }
    }
    return placeAllOrNone(stage, tasks, candidates);
  }

  override chooseNear(
    stage: StageRun,
    tasks: readonly TaskRun[],
    candidates: readonly Candidate[],
  ): Placement[] {
    const { preferredRack } = stage.spec;
    return preferredRack === ""
      ? placeInOneRack(stage, tasks, candidates)
      : placeAllOrNone(
        stage,
        tasks,
        candidates.filter(isInRack(preferredRack)),
      );
  }
}

function isInRack(rack: string): (candidate: Candidate) => boolean {
  return ({ session }) => session.info.rack === rack;
}

/** Places all tasks in the first rack that has room for them. */
function placeInOneRack(
  stage: StageRun,
  tasks: readonly TaskRun[],
  candidates: readonly Candidate[],
): Placement[] {
  const racks = new Set(candidates.map(({ session }) => session.info.rack));
  for (const rack of racks) {
    const placements = placeAllOrNone(
      stage,
      tasks,
      candidates.filter(isInRack(rack)),
    );
    if (placements.length > 0) {
      return placements;
    }
  }
  return [];
}

function placeAllOrNone(
  stage: StageRun,
  tasks: readonly TaskRun[],
  candidates: readonly Candidate[],
): Placement[] {
  const before = new Map(candidates.map((candidate) => {
    const {
      free,
      expected,
      hasLatencyTask,
      hasBestEffortTask,
      isQuiet,
      probationOf,
    } = candidate;
    return [candidate, {
      free,
      expected,
      hasLatencyTask,
      hasBestEffortTask,
      isQuiet,
      probationOf,
    }];
  }));
  const placements = new BestFitRule().choose(stage, tasks, candidates);
  if (placements.length === tasks.length) {
    return placements;
  }
  const reserved = placements.map(({ candidate }) => candidate);
  for (const candidate of reserved) {
    Object.assign(candidate, before.get(candidate));
  }
  clearReservations(reserved, stage);
  return [];
}

function findBestCandidate(
  stage: StageRun,
  task: TaskRun,
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  const suspect = isSuspect(task);
  const isIsolated = suspect && !task.isIsolationWaived;
  const blastPenalty = suspect ? BLAST_PENALTY : 0;
  for (const candidate of candidates) {
    if (
      !fitsNow(candidate, stage) || !admits(candidate, { task, isIsolated })
    ) {
      continue;
    }
    const score = scoreOf(stage, task, candidate) +
      blastPenalty * candidate.session.attempts.size;
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/**
 * Returns the score of a worker: mainly the resources that the task would leave
 * unused there. Lower is better.
 */
function scoreOf(stage: StageRun, task: TaskRun, candidate: Candidate): number {
  const { session, free, hold } = candidate;
  const isForOther = hold !== undefined &&
    hold.reservation.stage.name !== stage.name;
  const { capacity, id, rack } = session.info;
  const size = reservedSize(stage);
  const cpu = (free.cpuMillis - size.cpuMillis) /
    Math.max(capacity.cpuMillis, 1);
  const memory = (free.memoryMb - size.memoryMb) /
    Math.max(capacity.memoryMb, 1);
  const accelerators = capacity.accelerators > 0
    ? (free.accelerators - size.accelerators) / capacity.accelerators
    : 0;
  const { preferredRack } = stage.spec;
  const slownessWeight = stage.job.record.queue.priority === 0
    ? URGENT_SLOWNESS_WEIGHT
    : SLOWNESS_WEIGHT;
  return cpu + memory + ACCELERATOR_WEIGHT * accelerators +
    slownessWeight * (candidate.slowness - 1) +
    (task.failedOn.has(id) ? FAILED_PENALTY : 0) +
    (isForOther ? HELD_PENALTY : 0) +
    (preferredRack !== "" && rack !== preferredRack ? OTHER_RACK_PENALTY : 0);
}
