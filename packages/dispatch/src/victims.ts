import { addResources, NO_RESOURCES, type Resources } from "@mustardweir/model";
import { bookedSize, TaskPhase, type TaskRun } from "./book.ts";

/** A task is stopped for others at most so often. */
const MAX_PREEMPTIONS = 2;

/** Tasks on the worker that may be stopped for others, best first. */
export function listVictims(tasks: readonly TaskRun[]): TaskRun[] {
  return tasks.filter(isVictim)
    .sort((a, b) =>
      b.stage.job.record.queue.priority - a.stage.job.record.queue.priority ||
      b.placedMs - a.placedMs
    );
}

function isVictim(task: TaskRun): boolean {
  const { spec, job } = task.stage;
  return task.phase === TaskPhase.Placed && task.isRunning &&
    !task.isStopping && task.preemptions < MAX_PREEMPTIONS &&
    job.record.queue.priority > 0 && spec.checkpoints && !spec.lasting &&
    !spec.gang && !spec.bestEffort;
}

/** Room that stops on their way will free. */
export function stoppingRoom(tasks: readonly TaskRun[]): Resources {
  return tasks.filter(({ isStopping }) => isStopping)
    .map(({ stage }) => bookedSize(stage))
    .reduce(addResources, NO_RESOURCES);
}
