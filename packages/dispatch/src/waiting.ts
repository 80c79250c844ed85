import type { Update } from "@mustardweir/kernel";
import { stageKey } from "@mustardweir/model";
import { storeNow, unixNow } from "@mustardweir/replica";
import { expectedRun } from "@mustardweir/run-times";
import {
  DISPATCH_STATE,
  isOpen,
  isReady,
  isStageDone,
  type JobRun,
  type StageRun,
} from "./dispatch_state.ts";
import {
  type MeanRun,
  type ObjectiveClock,
  ObjectiveRanking,
  objectiveSlackMs,
  type ObjectiveStatus,
  objectiveStatusOf,
  type StageRanking,
} from "./turn_order.ts";

const RANKING: StageRanking = new ObjectiveRanking();

/** Rank of a stage and the status of its job that the rank follows from. */
export interface StageStanding {
  readonly rank: number;
  readonly status: ObjectiveStatus;
}

/** Returns the rank of a stage at the current time. */
export function standingOf(update: Update, stage: StageRun): StageStanding {
  const status = objectiveStatusOf(
    stage,
    clockFor(update, stage),
    meanRunBy(update),
  );
  return { rank: RANKING.rank(stage, status), status };
}

/**
 * Returns the time that is left until the stage's job is worth less, in
 * milliseconds.
 */
export function slackOf(update: Update, stage: StageRun): number {
  return objectiveSlackMs(stage, clockFor(update, stage), meanRunBy(update));
}

function clockFor(update: Update, stage: StageRun): ObjectiveClock {
  return {
    storeMs: storeNow(update),
    // The median of all nodes' clocks is costly and only schedules depend on it.
    unixMs: stage.job.record.spec.schedule === undefined
      ? undefined
      : unixNow(update),
  };
}

function meanRunBy(update: Update): MeanRun {
  return (queue, estimateMs) =>
    expectedRun(update, { queue, estimateMs }).meanMs;
}

/** Lets the stage wait for workers if any of its tasks may have to start. */
export function addWaiting(update: Update, stage: StageRun): void {
  if (isOpen(stage.job) && !isStageDone(stage) && isReady(stage)) {
    update.write(DISPATCH_STATE).waiting
      .add(stage, standingOf(update, stage).rank);
  }
}

/** Lets all stages of the job wait whose dependencies are done. */
export function addWaitingJob(update: Update, job: JobRun): void {
  for (const stage of job.stages.values()) {
    addWaiting(update, stage);
  }
}

/** Lets the stages wait that depend on a stage that is done. */
export function addDependents(
  update: Update,
  { job, occurrence, number: done }: StageRun,
): void {
  job.record.spec.stages.forEach(({ dependsOn }, number) => {
    const stage = job.stages.get(stageKey(occurrence, number));
    if (stage !== undefined && dependsOn.includes(done)) {
      addWaiting(update, stage);
    }
  });
}

/** Removes the stages of a job that has ended. */
export function removeWaitingJob(update: Update, job: JobRun): void {
  const { waiting } = update.write(DISPATCH_STATE);
  for (const stage of job.stages.values()) {
    waiting.remove(stage);
  }
}
