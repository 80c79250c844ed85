import { stageKey } from "@mustardweir/model";
import { isStageDone, type JobRun, type StageRun } from "./book.ts";

/** A job that takes this many times its objective is of no use any more. */
const EXPIRY_FACTOR = 3;

/** How much a job still gains from starting now; lower comes first. */
export enum Standing {
  /** Can still be done within its objective. */
  InTime = 0,
  /** Late, but not yet useless. */
  Late = 1,
  /** Beyond the rate that its team is entitled to. */
  Excess = 2,
  /** So late that nobody gains from it; runs on what is left. */
  Expired = 3,
}

/** The time, by the clocks that jobs are measured with. */
export interface TurnClock {
  /** Of the store, in milliseconds. */
  readonly storeMs: number;
  /** Time of day, Unix milliseconds. */
  readonly unixMs: number;
}

/** Ranks the stages that wait for workers. */
export abstract class TurnOrder {
  /** Stages of a lower rank are placed first. */
  abstract rank(stage: StageRun, standing: Standing): number;
}

/** By the priority of the queue alone. */
export class PriorityOrder extends TurnOrder {
  override rank(stage: StageRun): number {
    return stage.job.record.queue.priority;
  }
}

/** More than the priorities that queues have. */
const PRIORITIES = 1_000;

/**
 * By priority, and within a priority by what can still be done in time. Jobs
 * that are useless by now, or beyond their team's rate, come after all others.
 */
export class ObjectiveOrder extends TurnOrder {
  override rank(stage: StageRun, standing: Standing): number {
    const { priority } = stage.job.record.queue;
    return standing === Standing.InTime || standing === Standing.Late
      ? 2 * Math.min(priority, PRIORITIES) + standing
      : 2 * PRIORITIES * standing + priority;
  }
}

/** Where the job of a stage stands against its objective. */
export function standingOf(stage: StageRun, clock: TurnClock): Standing {
  const { job } = stage;
  const { queue, spec } = job.record;
  if (stage.spec.lasting) {
    return Standing.InTime;
  }
  const chainMs = longestChain(job, stage.occurrence, false);
  const objectiveMs = queue.stretch * chainMs + queue.latencyObjectiveMs;
  const { schedule } = spec;
  const ageMs = schedule === undefined
    ? clock.storeMs - job.record.acceptedMs
    : clock.unixMs - schedule.firstDueMs -
      stage.occurrence * schedule.intervalMs;
  const leftMs = longestChain(job, stage.occurrence, true);
  if (ageMs + leftMs > EXPIRY_FACTOR * objectiveMs) {
    return Standing.Expired;
  }
  if (job.isExcess) {
    return Standing.Excess;
  }
  return ageMs + leftMs > objectiveMs ? Standing.Late : Standing.InTime;
}

/** Estimated time of the longest chain of stages, in milliseconds. */
function longestChain(
  job: JobRun,
  occurrence: number,
  isLeftOnly: boolean,
): number {
  const endsMs: number[] = [];
  job.record.spec.stages.forEach(({ dependsOn, estimateMs }, number) => {
    const stage = job.stages.get(stageKey(occurrence, number));
    const isOver = isLeftOnly && stage !== undefined && isStageDone(stage);
    const startMs = Math.max(0, ...dependsOn.map((at) => endsMs[at] ?? 0));
    endsMs.push(startMs + (isOver ? 0 : estimateMs));
  });
  return Math.max(0, ...endsMs);
}
