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
import { advanceGang, noteGangLoss } from "./gang.ts";
import { type Home, type HomeTask, TaskState } from "./home_state.ts";
import { requeueFirst, resetAttempt, setTaskState } from "./queue.ts";
import { markStarted, settleEnd } from "./task_progress.ts";

/** A slice that takes no work is not asked again for this long. */
const DECLINED_PAUSE_MS = 100;

/** Takes in a slice's answers to asks; late and doubled ones are harmless. */
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

/** A withdrawn ask that never came is answered without a task id. */
function isAnswerTo(
  task: HomeTask,
  answer: AskAnswer,
  sliceEpoch: number,
): boolean {
  return task.sliceEpoch === sliceEpoch &&
    (answer.taskId === task.taskId || answer.taskId === "");
}

interface Answered {
  readonly task: HomeTask;
  readonly answer: AskAnswer;
}

function applyAnswer(
  update: Update,
  home: Home,
  { task, answer }: Answered,
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
      hold(update, home, task);
      break;
    case RoomResult.Declined:
      decline(update, home, { task, answer });
      break;
  }
}

function hold(update: Update, home: Home, task: HomeTask): void {
  const view = home.slices.get(task.sliceId);
  if (task.state === TaskState.Asked && view !== undefined) {
    view.outstanding -= 1;
  }
  view?.tight.noteRoom(task.job.size);
  setTaskState(home, task, TaskState.Held);
  advanceGang(update, home, task.job);
}

function decline(
  update: Update,
  home: Home,
  { task, answer }: Answered,
): void {
  const view = home.slices.get(task.sliceId);
  if (answer.reason === DeclineReason.NoRoom) {
    view?.tight.note(task.job.size, update.now);
  } else if (view !== undefined && answer.reason !== DeclineReason.Withdrawn) {
    view.notBefore = update.now + DECLINED_PAUSE_MS;
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
    requeueFirst(home, task);
  }
  if (job.spec.kind === JobKind.Gang) {
    noteGangLoss(update, home, job);
    advanceGang(update, home, job);
  }
}

/** Takes in what became of started tasks. */
export function applyEvents(
  update: Update,
  home: Home,
  message: TaskEvents,
): void {
  const strays: string[] = [];
  for (const event of message.events) {
    const task = home.byTaskId.get(event.task.taskId);
    if (task !== undefined && message.sliceEpoch < task.sliceEpoch) {
      continue; // Its newer owner tells what becomes of it.
    }
    if (task !== undefined) {
      applyEvent(update, home, { task, event });
    } else if (event.phase === TaskPhase.Ended && isSettled(home, event)) {
      strays.push(event.task.taskId);
    }
  }
  if (strays.length > 0) {
    const { sliceId } = message;
    acknowledge(update, home, { sliceId, taskIds: strays });
  }
}

function applyEvent(
  update: Update,
  home: Home,
  { task, event }: { readonly task: HomeTask; readonly event: TaskEvent },
): void {
  const { instanceId, end } = event;
  if (event.phase === TaskPhase.Ended && end !== undefined) {
    settleEnd(update, home, { task, instanceId, end });
  } else if (task.state === TaskState.Asked || task.state === TaskState.Held) {
    markStarted(update, home, { task, instanceId });
  }
}

/** True when nothing depends on the slice remembering the attempt. */
function isSettled(home: Home, event: TaskEvent): boolean {
  const job = home.jobs.get(event.task.jobId);
  if (job === undefined || job.endRecorded) {
    return true;
  }
  return !job.tasks.some((task) => task.taskId === event.task.taskId);
}
