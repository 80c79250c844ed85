import type { Update } from "@mustardweir/kernel";
import { EndReason, JobKind } from "@mustardweir/model";
import {
  type AskAnswer,
  count,
  DeclineReason,
  type RoomAnswer,
  RoomResult,
  type TaskEvent,
  type TaskEvents,
  TaskPhase,
} from "@mustardweir/protocol";
import { acknowledge } from "./acknowledge.ts";
import { endTask } from "./ending.ts";
import { advanceGang, restartBrokenGang } from "./gang.ts";
import { type Home, type HomeTask, TaskState } from "./home_state.ts";
import { requeueAtFront, resetAttempt, setTaskState } from "./queue.ts";
import { handleAttemptEnd, markStarted } from "./task_progress.ts";

/** How long a slice that takes no work is not asked again, in milliseconds. */
const DECLINED_PAUSE_MS = 100;

/**
 * Applies a slice's answers to asks; late and duplicate answers are ignored.
 */
export function applyAnswers(
  update: Update,
  home: Home,
  message: RoomAnswer,
): void {
  for (const answer of message.answers) {
    const task = home.bySeq.get(answer.seq);
    if (task !== undefined && isAnswerTo(task, answer, message.sliceEpoch)) {
      applyAnswer(update, home, { task, answer });
    }
  }
}

/**
 * True if the answer belongs to the task's current ask. A withdrawn ask that
 * never reached the slice is answered with an empty task id.
 */
function isAnswerTo(
  task: HomeTask,
  answer: AskAnswer,
  sliceEpoch: number,
): boolean {
  return task.sliceEpoch === sliceEpoch &&
    (answer.taskId === task.taskId || answer.taskId === "");
}

interface AnsweredAsk {
  readonly task: HomeTask;
  readonly answer: AskAnswer;
}

function applyAnswer(
  update: Update,
  home: Home,
  { task, answer }: AnsweredAsk,
): void {
  const isOpen = task.state === TaskState.Asked ||
    task.state === TaskState.Held;
  if (!isOpen) {
    return;
  }
  switch (answer.result) {
    case RoomResult.Started:
      markStarted(update, home, { task, instanceId: answer.instanceId ?? "" });
      break;
    case RoomResult.Held:
      handleHeld(update, home, task);
      break;
    case RoomResult.Declined:
      handleDeclined(update, home, { task, answer });
      break;
  }
}

function handleHeld(update: Update, home: Home, task: HomeTask): void {
  const view = home.slices.get(task.sliceId);
  if (task.state === TaskState.Asked && view !== undefined) {
    view.outstanding -= 1;
  }
  view?.placeability.markPlaceable(task.job.size);
  setTaskState(home, task, TaskState.Held);
  advanceGang(update, home, task.job);
}

function handleDeclined(
  update: Update,
  home: Home,
  { task, answer }: AnsweredAsk,
): void {
  const view = home.slices.get(task.sliceId);
  if (answer.reason === DeclineReason.NoRoom) {
    view?.placeability.markUnplaceable(task.job.size, update.now);
  } else if (view !== undefined && answer.reason !== DeclineReason.Withdrawn) {
    view.pausedUntil = update.now + DECLINED_PAUSE_MS;
  }
  update.emit(count("asks_declined"));
  resetAttempt(home, task);
  const { job } = task;
  if (job.cancelled) {
    endTask(update, home, { task, reason: EndReason.Cancelled });
  } else if (update.now >= job.startBy && job.firstStartAt === undefined) {
    endTask(update, home, { task, reason: EndReason.DeadlinePassed });
  } else {
    task.stopping = false;
    requeueAtFront(home, task);
  }
  if (job.spec.kind === JobKind.Gang) {
    restartBrokenGang(update, home, job);
    advanceGang(update, home, job);
  }
}

/**
 * Applies events of started tasks, and acknowledges ends that no task waits
 * for.
 */
export function applyEvents(
  update: Update,
  home: Home,
  message: TaskEvents,
): void {
  const unknownTaskIds: string[] = [];
  for (const event of message.events) {
    const task = home.byTaskId.get(event.task.taskId);
    if (task !== undefined && message.sliceEpoch < task.sliceEpoch) {
      continue; // The slice's newer owner reports on it.
    }
    if (task !== undefined) {
      applyEvent(update, home, { task, event });
    } else if (event.phase === TaskPhase.Ended && canAcknowledge(home, event)) {
      unknownTaskIds.push(event.task.taskId);
    }
  }
  if (unknownTaskIds.length > 0) {
    const { sliceId } = message;
    acknowledge(update, home, { sliceId, taskIds: unknownTaskIds });
  }
}

function applyEvent(
  update: Update,
  home: Home,
  { task, event }: { readonly task: HomeTask; readonly event: TaskEvent },
): void {
  const { instanceId, end } = event;
  if (event.phase === TaskPhase.Ended && end !== undefined) {
    handleAttemptEnd(update, home, { task, instanceId, end });
  } else if (task.state === TaskState.Asked || task.state === TaskState.Held) {
    markStarted(update, home, { task, instanceId });
  }
}

/** True if the home no longer needs the slice's record of the attempt. */
function canAcknowledge(home: Home, event: TaskEvent): boolean {
  const job = home.jobs.get(event.task.jobId);
  if (job === undefined || job.endRecorded) {
    return true;
  }
  return !job.tasks.some((task) => task.taskId === event.task.taskId);
}
