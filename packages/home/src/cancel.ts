import type { Update } from "@mustardweir/kernel";
import { JournalRecordKind } from "@mustardweir/journal";
import { EndReason } from "@mustardweir/model";
import { StopMode } from "@mustardweir/protocol";
import { groupBySlice, sendStops, sendWithdrawal } from "./slice_messages.ts";
import { appendRecords, endTask } from "./ending.ts";
import {
  type Home,
  type HomeJob,
  HomePhase,
  type HomeTask,
  TaskState,
} from "./home_state.ts";

export interface CancelOptions {
  readonly job: HomeJob;
  /** Reason with which tasks that have not started end. */
  readonly reason: EndReason;
}

/** Cancels a job: waiting tasks end now, running ones are stopped. */
export function cancelJob(
  update: Update,
  home: Home,
  { job, reason }: CancelOptions,
): void {
  if (job.cancelled) {
    return;
  }
  job.cancelled = true;
  home.cancelling.add(job);
  if (job.journaled) {
    appendRecords(update, home, [
      { kind: JournalRecordKind.Cancelled, jobId: job.jobId },
    ]);
  }
  stopTasks(update, home, { tasks: job.tasks, reason });
}

/**
 * Continues the cancellation of a job: stops tasks that slices have reported
 * since and ends those that run nowhere.
 */
export function continueCancel(
  update: Update,
  home: Home,
  job: HomeJob,
): void {
  const tasks = job.tasks.filter(({ state, stopping }) =>
    state === TaskState.Pending || !stopping
  );
  stopTasks(update, home, { tasks, reason: EndReason.Cancelled });
}

interface StopOptions {
  readonly tasks: readonly HomeTask[];
  readonly reason: EndReason;
}

function stopTasks(
  update: Update,
  home: Home,
  { tasks, reason }: StopOptions,
): void {
  for (const task of tasks) {
    task.stopping = true;
    home.stopping.add(task); // A slice may still report that it runs.
  }
  const inState = (...states: TaskState[]) =>
    tasks.filter((task) => states.includes(task.state));
  const asked = inState(TaskState.Asked, TaskState.Held);
  for (const [sliceId, group] of groupBySlice(asked)) {
    sendWithdrawal(update, home, { sliceId, tasks: group });
  }
  const started = inState(TaskState.Started);
  for (const [sliceId, group] of groupBySlice(started)) {
    const mode = StopMode.Cancel;
    sendStops(update, home, { sliceId, tasks: group, mode });
  }
  if (home.phase !== HomePhase.Active) {
    return; // A slice may still report that it runs a waiting task.
  }
  for (const task of inState(TaskState.Pending)) {
    endTask(update, home, { task, reason });
  }
}
