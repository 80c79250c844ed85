import { createCommand } from "@mustardweir/kernel";

/** How the attempt that ended came to run. */
export enum AttemptStart {
  /** This owner started it from the beginning. */
  Fresh = "fresh",
  /** This owner started it from a checkpoint. */
  Resumed = "resumed",
  /** A former owner started it, or may have. */
  Adopted = "adopted",
}

/** A task whose attempt ended done. */
export interface TaskRan {
  readonly queue: string;
  readonly workerId: string;
  readonly start: AttemptStart;
  /** Time from the start order to the end, in milliseconds. */
  readonly ranMs: number;
  /**
   * Time from the start order to the worker's confirmation, in milliseconds;
   * undefined if it didn't confirm the start.
   */
  readonly confirmMs: number | undefined;
  /** The caller's estimate, in milliseconds; 0 if the caller gave none. */
  readonly estimateMs: number;
  /** Run time on the worker relative to other workers, without this run. */
  readonly slowness: number;
  /** Whether the worker is neither quarantined nor being probed. */
  readonly isHealthy: boolean;
  /** Whether it ran away from its preferred rack, or its gang spanned racks. */
  readonly isRemote: boolean;
}

/** Dispatched when a task's attempt has ended done. */
export const TASK_RAN = createCommand<TaskRan>("task-ran");

/** Whether a run counts, or why it doesn't. */
export enum RunVerdict {
  Counted = "counted",
  /** It resumed from a checkpoint, so its time is a part of the whole. */
  Resumed = "resumed",
  /** The time of its start isn't known well enough. */
  UnknownStart = "unknown-start",
  /** Its caller gave no estimate, so there is no ratio. */
  NoEstimate = "no-estimate",
  /** Its worker is quarantined or being probed. */
  Unhealthy = "unhealthy",
  /** It ran away from its rack, which takes longer for a known reason. */
  Remote = "remote",
}

/**
 * Largest share of a run that may lie between the start order and its
 * confirmation: the error of the run time then stays within the tolerance of
 * 15% that the learned factors have.
 */
const MAX_CONFIRM_SHARE = 0.1;

/**
 * Shortest time that counts as an estimate, in milliseconds: the resolution of
 * run times. Estimates may be fractions, and 0 stands for none.
 */
const MIN_ESTIMATE_MS = 1;

/** Returns whether the run tells how long tasks of its queue take. */
export function judgeRun(run: TaskRan): RunVerdict {
  const { start, ranMs, confirmMs, estimateMs, isHealthy, isRemote } = run;
  if (estimateMs < MIN_ESTIMATE_MS) {
    return RunVerdict.NoEstimate;
  }
  if (start === AttemptStart.Resumed) {
    return RunVerdict.Resumed;
  }
  if (
    start === AttemptStart.Adopted || confirmMs === undefined || ranMs <= 0 ||
    confirmMs > MAX_CONFIRM_SHARE * ranMs
  ) {
    return RunVerdict.UnknownStart;
  }
  if (!isHealthy) {
    return RunVerdict.Unhealthy;
  }
  return isRemote ? RunVerdict.Remote : RunVerdict.Counted;
}
