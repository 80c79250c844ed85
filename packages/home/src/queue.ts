import { addResources, Priority, subtractResources } from "@mustardweir/model";
import {
  type Home,
  type HomeJob,
  type HomeTask,
  takesRoom,
  TaskState,
} from "./home_state.ts";
import type { JobQueue } from "./job_queue.ts";

/** Adds a job that has not ended to the home. */
export function addJob(home: Home, job: HomeJob): void {
  home.jobs.set(job.jobId, job);
  home.liveJobs += 1;
  home.deadlines.push(job.startBy, job);
}

/** Puts a task that waits for room at the end of its queue. */
export function enqueue(home: Home, task: HomeTask): void {
  queueOf(home, task).push(task);
}

/** Puts a task back at the front of its queue, e.g. after a declined ask. */
export function requeueAtFront(home: Home, task: HomeTask): void {
  queueOf(home, task).unshift(task);
}

/** Sets the state of a task and updates the home's totals. */
export function setTaskState(
  home: Home,
  task: HomeTask,
  state: TaskState,
): void {
  const before = takesRoom(task);
  const { job } = task;
  job.endedTasks += Number(state === TaskState.Ended) -
    Number(task.state === TaskState.Ended);
  task.state = state;
  const after = takesRoom(task);
  if (before && !after) {
    home.used = subtractResources(home.used, job.size);
    countInSlice(task, -1);
  } else if (!before && after) {
    home.used = addResources(home.used, job.size);
    countInSlice(task, 1);
  }
}

function countInSlice({ job, sliceId }: HomeTask, by: number): void {
  const count = (job.tasksBySlice.get(sliceId) ?? 0) + by;
  if (count === 0) {
    job.tasksBySlice.delete(sliceId);
  } else {
    job.tasksBySlice.set(sliceId, count);
  }
}

/** Removes the current ask or attempt of a task from the home's indexes. */
export function removeAttempt(home: Home, task: HomeTask): void {
  home.bySeq.delete(task.seq);
  home.byTaskId.delete(task.taskId);
  const view = home.slices.get(task.sliceId);
  if (view !== undefined && task.state === TaskState.Asked) {
    view.outstanding -= 1;
  }
}

/** Resets a task to wait for room, as if no ask had been sent for it. */
export function resetAttempt(home: Home, task: HomeTask): void {
  removeAttempt(home, task);
  setTaskState(home, task, TaskState.Pending);
  task.seq = 0;
  task.taskId = "";
  task.sliceId = "";
  task.sliceEpoch = 0;
  task.instanceId = "";
  task.withdrawn = false;
}

function queueOf(home: Home, task: HomeTask): JobQueue {
  return task.job.spec.priority === Priority.Urgent ? home.urgent : home.normal;
}
