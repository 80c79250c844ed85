import { addResources, NO_RESOURCES, type Resources } from "@mustardweir/model";
import { reservedSize, TaskPhase, type TaskRun } from "./dispatch_state.ts";

/** Maximum number of times that a task is preempted. */
const MAX_PREEMPTIONS = 2;

/**
 * Returns the tasks that may be preempted: those of the least urgent queue
 * first, and of these the latest placed.
 */
export function listVictims(tasks: readonly TaskRun[]): TaskRun[] {
  return tasks.filter(isPreemptible)
    .sort((a, b) =>
      b.stage.job.record.queue.priority - a.stage.job.record.queue.priority ||
      b.placedMs - a.placedMs
    );
}

/** Returns whether the task may be preempted. */
export function isPreemptible(task: TaskRun): boolean {
  const { spec, job } = task.stage;
  return task.phase === TaskPhase.Placed && task.isRunning &&
    !task.isStopping && task.preemptions < MAX_PREEMPTIONS &&
    job.record.queue.priority > 0 && spec.checkpoints && !spec.lasting &&
    !spec.gang && !spec.bestEffort;
}

/** Returns the resources that tasks being stopped will free. */
export function capacityBeingFreed(tasks: readonly TaskRun[]): Resources {
  return tasks.filter(({ isStopping }) => isStopping)
    .map(({ stage }) => reservedSize(stage))
    .reduce(addResources, NO_RESOURCES);
}
