import { stageKey } from "@mustardweir/model";
import {
  dueTimeMs,
  isStageDone,
  type JobRun,
  type StageRun,
} from "./dispatch_state.ts";

/** Multiple of its objective beyond which a job is of no use any more. */
const EXPIRY_FACTOR = 3;

/**
 * Status of a job against its objective; stages of a lower value are placed
 * first.
 */
export enum ObjectiveStatus {
  /** The job can still meet its objective. */
  InTime = 0,
  /** The job misses its objective but is still useful. */
  Late = 1,
  /** The job was submitted beyond its team's entitled rate. */
  OverRate = 2,
  /** The job is too late to be useful and runs only on spare capacity. */
  Expired = 3,
}

/** Current time on the two clocks by which the ages of jobs are measured. */
export interface ObjectiveClock {
  /** The store's clock, in milliseconds. */
  readonly storeMs: number;
  /** Time of day, in Unix milliseconds; undefined if it isn't known. */
  readonly unixMs: number | undefined;
}

/** Ranks stages with waiting tasks. */
export abstract class StageRanking {
  /** Returns the rank; stages of a lower rank are placed first. */
  abstract rank(stage: StageRun, status: ObjectiveStatus): number;
}

/** Ranks by the priority of the queue alone. */
export class PriorityRanking extends StageRanking {
  override rank(stage: StageRun): number {
    return stage.job.record.queue.priority;
  }
}

/** Above the priority of any queue; keeps the ranges of ranks apart. */
const PRIORITY_LIMIT = 1_000;

/**
 * Ranks by priority, and within a priority puts jobs that can meet their
 * objective first. Jobs that are expired or over their team's rate come after
 * all others.
 */
export class ObjectiveRanking extends StageRanking {
  override rank(stage: StageRun, status: ObjectiveStatus): number {
    const { priority } = stage.job.record.queue;
    return status === ObjectiveStatus.InTime ||
        status === ObjectiveStatus.Late
      ? 2 * Math.min(priority, PRIORITY_LIMIT) + status
      : 2 * PRIORITY_LIMIT * status + priority;
  }
}

/**
 * Returns the priority of the queue of a stage with this rank of
 * {@link ObjectiveRanking}; undefined for jobs that are expired or over their
 * team's rate.
 */
export function priorityOfRank(rank: number): number | undefined {
  return rank < 2 * PRIORITY_LIMIT + ObjectiveStatus.OverRate
    ? Math.floor(rank / 2)
    : undefined;
}

/**
 * Returns how long tasks of a queue are expected to run whose estimates add up
 * to `estimateMs`; in milliseconds.
 */
export type MeanRun = (queue: string, estimateMs: number) => number;

/**
 * Returns the status of the stage's job against its objective. The objective is a
 * multiple of the time that the job's tasks really take, so it follows from
 * `meanRun` like what remains of the job.
 */
export function objectiveStatusOf(
  stage: StageRun,
  clock: ObjectiveClock,
  meanRun: MeanRun,
): ObjectiveStatus {
  if (stage.spec.lasting) {
    return ObjectiveStatus.InTime;
  }
  const { ageMs, remainingMs, objectiveMs } = measure(stage, clock, meanRun);
  if (ageMs + remainingMs > EXPIRY_FACTOR * objectiveMs) {
    return ObjectiveStatus.Expired;
  }
  if (stage.job.isOverRate) {
    return ObjectiveStatus.OverRate;
  }
  return ageMs + remainingMs > objectiveMs
    ? ObjectiveStatus.Late
    : ObjectiveStatus.InTime;
}

/**
 * Returns the time that is left until the stage's job is worth less, in
 * milliseconds: until its objective, or until it expires if it is late already.
 * Negative if the job is expired.
 */
export function objectiveSlackMs(
  stage: StageRun,
  clock: ObjectiveClock,
  meanRun: MeanRun,
): number {
  const { ageMs, remainingMs, objectiveMs } = measure(stage, clock, meanRun);
  const slackMs = objectiveMs - ageMs - remainingMs;
  return slackMs >= 0
    ? slackMs
    : EXPIRY_FACTOR * objectiveMs - ageMs - remainingMs;
}

/** Times of a job, in milliseconds. */
interface JobTimes {
  readonly ageMs: number;
  /** What remains of its critical path. */
  readonly remainingMs: number;
  readonly objectiveMs: number;
}

function measure(
  stage: StageRun,
  clock: ObjectiveClock,
  meanRun: MeanRun,
): JobTimes {
  const { job } = stage;
  const { queue } = job.record;
  const totalMs = meanRun(
    queue.name,
    criticalPathMs(job, stage.occurrence, false),
  );
  const objectiveMs = queue.stretch * totalMs + queue.latencyObjectiveMs;
  const dueMs = dueTimeMs(job.record, stage.occurrence);
  const ageMs = dueMs === undefined
    ? clock.storeMs - job.record.acceptedMs
    : (clock.unixMs ?? dueMs) - dueMs;
  const remainingMs = meanRun(
    queue.name,
    criticalPathMs(job, stage.occurrence, true),
  );
  return { ageMs, remainingMs, objectiveMs };
}

/**
 * Returns how long after its due time an occurrence that hasn't begun is still
 * useful, in milliseconds.
 */
export function usefulMs(job: JobRun, meanRun: MeanRun): number {
  const { name, stretch, latencyObjectiveMs } = job.record.queue;
  const totalMs = meanRun(name, criticalPathMs(job, 0, false));
  return EXPIRY_FACTOR * (stretch * totalMs + latencyObjectiveMs) - totalMs;
}

/**
 * Returns the estimated duration of the job's critical path, in milliseconds.
 */
function criticalPathMs(
  job: JobRun,
  occurrence: number,
  isRemainingOnly: boolean,
): number {
  const { stages } = job.record.spec;
  const endsMs: number[] = [];
  let longestMs = 0;
  // Plain loops: this runs twice for each stage that a pass examines.
  for (let number = 0; number < stages.length; number++) {
    const { dependsOn, estimateMs } = stages[number]!;
    const stage = isRemainingOnly
      ? job.stages.get(stageKey(occurrence, number))
      : undefined;
    const isCompleted = stage !== undefined && isStageDone(stage);
    let startMs = 0;
    for (const at of dependsOn) {
      startMs = Math.max(startMs, endsMs[at] ?? 0);
    }
    const endMs = startMs + (isCompleted ? 0 : estimateMs);
    endsMs.push(endMs);
    longestMs = Math.max(longestMs, endMs);
  }
  return longestMs;
}
