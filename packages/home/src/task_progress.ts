import type { Update } from "@mustardweir/kernel";
import { EndReason, JobKind } from "@mustardweir/model";
import { observe, type TaskEnd } from "@mustardweir/protocol";
import { acknowledge } from "./acknowledge.ts";
import { endTask, runsUntilCancelled } from "./ending.ts";
import { restartBrokenGang } from "./gang.ts";
import { type Home, type HomeTask, TaskState } from "./home_state.ts";
import { requeueAtFront, resetAttempt, setTaskState } from "./queue.ts";
import { describeWork, WORK_STARTED } from "./work_events.ts";

/** Number of failures after which a task, unless of a service, is given up. */
const MAX_FAILURES = 3;

/**
 * First delay before a failed task is started again, in milliseconds; it
 * doubles with each failure.
 */
const FIRST_BACKOFF_MS = 200;

/** Longest delay before a failed service is started again, in milliseconds. */
const MAX_BACKOFF_MS = 30_000;

export interface StartedOptions {
  readonly task: HomeTask;
  readonly instanceId: string;
}

/** Records that a worker runs the task. */
export function markStarted(
  update: Update,
  home: Home,
  { task, instanceId }: StartedOptions,
): void {
  const { job } = task;
  const view = home.slices.get(task.sliceId);
  if (task.state === TaskState.Asked && view !== undefined) {
    view.outstanding -= 1;
    view.placeability.markPlaceable(job.size);
  }
  setTaskState(home, task, TaskState.Started);
  home.bySeq.delete(task.seq);
  task.instanceId = instanceId;
  if (job.firstStartAt === undefined) {
    job.firstStartAt = update.now;
    if (job.spec.kind === JobKind.Request) {
      home.requestStarts.record(update.now);
    }
    update.dispatch(WORK_STARTED, describeWork(home, job));
    update.emit(observe("start_wait_ms", update.now - job.createdAt));
  }
}

export interface EndOptions {
  readonly task: HomeTask;
  readonly instanceId: string;
  readonly end: TaskEnd;
}

/** Handles the end of an attempt: ends the task or starts it again. */
export function handleAttemptEnd(
  update: Update,
  home: Home,
  { task, instanceId, end }: EndOptions,
): void {
  markStarted(update, home, { task, instanceId });
  const { job } = task;
  job.answer = end.answer ?? job.answer;
  task.checkpoint = end.checkpoint ?? task.checkpoint;
  const next = nextStep(task, end.reason);
  if (next === NextStep.End) {
    endTask(update, home, { task, reason: finalReason(task, end.reason) });
  } else {
    restartTask(update, home, { task, next });
  }
  if (job.spec.kind === JobKind.Gang && end.reason !== EndReason.Completed) {
    restartBrokenGang(update, home, job);
  }
}

enum NextStep {
  End,
  Restart,
  RestartLater,
}

function nextStep(task: HomeTask, reason: EndReason): NextStep {
  const { job } = task;
  if (job.cancelled || !job.spec.idempotent) {
    return NextStep.End;
  }
  switch (reason) {
    case EndReason.Preempted:
    case EndReason.Lost:
      return NextStep.Restart;
    case EndReason.Failed:
      task.failures += 1;
      return runsUntilCancelled(job) || task.failures < MAX_FAILURES
        ? NextStep.RestartLater
        : NextStep.End;
    case EndReason.Completed:
      return runsUntilCancelled(job) ? NextStep.RestartLater : NextStep.End;
    default:
      return NextStep.End;
  }
}

function finalReason(task: HomeTask, reason: EndReason): EndReason {
  const wasStopped = reason === EndReason.Preempted ||
    (reason === EndReason.Lost && task.job.spec.idempotent);
  return task.job.cancelled && wasStopped ? EndReason.Cancelled : reason;
}

interface RestartOptions {
  readonly task: HomeTask;
  readonly next: NextStep;
}

function restartTask(
  update: Update,
  home: Home,
  { task, next }: RestartOptions,
): void {
  const { sliceId, taskId } = task;
  resetAttempt(home, task);
  task.stopping = false;
  if (next === NextStep.RestartLater) {
    home.delayed.push(update.now + backoffMs(task), task);
  } else {
    requeueAtFront(home, task);
  }
  acknowledge(update, home, { sliceId, taskIds: [taskId] });
}

function backoffMs(task: HomeTask): number {
  const exponent = Math.max(task.failures - 1, 0);
  return Math.min(FIRST_BACKOFF_MS * 2 ** exponent, MAX_BACKOFF_MS);
}
