import { bookedSize, type StageRun, type TaskRun } from "./book.ts";
import { book, type Candidate, hasRoom, settleBookings } from "./candidates.ts";

/** A task with the worker that it will start on. */
export interface Choice {
  readonly task: TaskRun;
  readonly candidate: Candidate;
}

/** Weight of leaving accelerators idle beside processors, in a score. */
const ACCELERATOR_WEIGHT = 4;
/** Weight of a worker's slowness: urgent work goes to fast workers first. */
const URGENT_SLOWNESS_WEIGHT = 4;
const SLOWNESS_WEIGHT = 0.6;
/** Added to the score of a worker that failed the task. */
const FAILED_PENALTY = 100;
/** Added to the score of a worker away from the task's data. */
const FAR_PENALTY = 10;

/** Chooses the workers of a stage's tasks. */
export abstract class PlacementRule {
  /**
   * A worker for each of `tasks` that has one, booked on the candidates. May
   * be shorter than `tasks`.
   */
  abstract choose(
    stage: StageRun,
    tasks: readonly TaskRun[],
    candidates: readonly Candidate[],
  ): Choice[];
}

/** Each task by itself, on the worker that it fills best. */
export class BestFitRule extends PlacementRule {
  override choose(
    stage: StageRun,
    tasks: readonly TaskRun[],
    candidates: readonly Candidate[],
  ): Choice[] {
    const choices: Choice[] = [];
    for (const task of tasks) {
      const candidate = bestOf(stage, task, candidates);
      if (candidate === undefined) {
        break;
      }
      book(candidate, stage);
      choices.push({ task, candidate });
    }
    return choices;
  }
}

/** All tasks or none, within one rack where that matters. */
export class GangRule extends PlacementRule {
  override choose(
    stage: StageRun,
    tasks: readonly TaskRun[],
    candidates: readonly Candidate[],
  ): Choice[] {
    if (stage.spec.sameRack) {
      const racks = new Set(candidates.map(({ session }) => session.info.rack));
      for (const rack of racks) {
        const inRack = candidates.filter(({ session }) =>
          session.info.rack === rack
        );
        const choices = allOrNone(stage, tasks, inRack);
        if (choices.length > 0) {
          return choices;
        }
      }
    }
    return allOrNone(stage, tasks, candidates);
  }
}

function allOrNone(
  stage: StageRun,
  tasks: readonly TaskRun[],
  candidates: readonly Candidate[],
): Choice[] {
  const before = candidates.map(
    ({ free, expected, hasServing, hasBestEffort }) => ({
      free,
      expected,
      hasServing,
      hasBestEffort,
    }),
  );
  const choices = new BestFitRule().choose(stage, tasks, candidates);
  if (choices.length === tasks.length) {
    return choices;
  }
  candidates.forEach((candidate, index) =>
    Object.assign(candidate, before[index])
  );
  settleBookings(candidates, stage);
  return [];
}

function bestOf(
  stage: StageRun,
  task: TaskRun,
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    if (!hasRoom(candidate, stage)) {
      continue;
    }
    const score = rate(stage, task, candidate);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/** Lower is better: what the task would leave unused on the worker. */
function rate(stage: StageRun, task: TaskRun, candidate: Candidate): number {
  const { session, free } = candidate;
  const { capacity, id, rack } = session.info;
  const size = bookedSize(stage);
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
    (preferredRack !== "" && rack !== preferredRack ? FAR_PENALTY : 0);
}
