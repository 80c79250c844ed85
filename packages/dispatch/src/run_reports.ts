import type { Update } from "@mustardweir/kernel";
import { REPLICA } from "@mustardweir/replica";
import { TASK_RAN } from "@mustardweir/run-times";
import type { TaskRun } from "./dispatch_state.ts";
import { WORKER_HEALTH } from "./health.ts";

/**
 * Reports a run that ended done, with what is known of its worker before the
 * end counts for or against the worker.
 */
export function reportRun(update: Update, task: TaskRun, ranMs: number): void {
  const { stage: { job, spec }, workerId, confirmedMs } = task;
  const health = update.read(WORKER_HEALTH);
  update.dispatch(TASK_RAN, {
    queue: job.record.queue.name,
    workerId,
    start: task.start,
    ranMs,
    confirmMs: confirmedMs === undefined
      ? undefined
      : confirmedMs - task.placedMs,
    estimateMs: spec.estimateMs,
    slowness: health.slowness(workerId),
    isHealthy: health.isHealthy(workerId, update.now),
    isRemote: isRemote(update, task),
  });
}

/**
 * Returns whether the task ran away from the rack of its data, or its gang
 * spanned racks though it had better not.
 */
export function isRemote(
  update: Update,
  { stage, workerId }: TaskRun,
): boolean {
  const { preferredRack, sameRack, gang } = stage.spec;
  const { workers } = update.read(REPLICA);
  const rack = workers.get(workerId)?.rack;
  if (preferredRack !== "" && rack !== preferredRack) {
    return true;
  }
  return sameRack && gang &&
    stage.tasks.some((member) => workers.get(member.workerId)?.rack !== rack);
}
