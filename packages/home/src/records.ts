import type { Update } from "@mustardweir/kernel";
import { type JournalRecord, JournalRecordKind } from "@mustardweir/journal";
import { acknowledge } from "./acknowledge.ts";
import { answerWaiters, publishEnd } from "./ending.ts";
import { type Home, type HomeJob, TaskState } from "./home_state.ts";
import { enqueue, requeueAtFront, setTaskState } from "./queue.ts";
import { describeWork, WORK_ACCEPTED } from "./work_events.ts";

/** Applies the effects of records that have become durable. */
export function applyCommitted(
  update: Update,
  home: Home,
  records: readonly JournalRecord[],
): void {
  for (const record of records) {
    const job = home.jobs.get(record.jobId);
    if (job !== undefined) {
      applyRecord(update, home, { job, record });
    }
  }
}

interface CommittedRecord {
  readonly job: HomeJob;
  readonly record: JournalRecord;
}

function applyRecord(
  update: Update,
  home: Home,
  { job, record }: CommittedRecord,
): void {
  switch (record.kind) {
    case JournalRecordKind.Accepted:
      acceptJob(update, home, job);
      break;
    case JournalRecordKind.Starting:
      allowStart(home, job, record.taskIndex);
      break;
    case JournalRecordKind.TaskEnded:
      acknowledgeTask(update, home, { job, taskIndex: record.taskIndex });
      break;
    case JournalRecordKind.Cancelled:
      answerWaiters(update, home, { job, waiters: job.cancelWaiters });
      break;
    case JournalRecordKind.JobEnded:
      publishEnd(update, home, job);
      job.tasks.forEach(({ index }) =>
        acknowledgeTask(update, home, { job, taskIndex: index })
      );
      break;
  }
}

function acceptJob(update: Update, home: Home, job: HomeJob): void {
  job.accepted = true;
  update.dispatch(WORK_ACCEPTED, describeWork(home, job));
  answerWaiters(update, home, { job, waiters: job.acceptWaiters });
  for (const task of job.tasks) {
    if (task.state === TaskState.Pending) {
      enqueue(home, task);
    }
  }
}

function allowStart(home: Home, job: HomeJob, taskIndex: number): void {
  const task = job.tasks[taskIndex];
  if (task === undefined || task.state !== TaskState.Recording) {
    return;
  }
  task.startRecorded = true;
  setTaskState(home, task, TaskState.Pending);
  requeueAtFront(home, task);
}

interface EndedTask {
  readonly job: HomeJob;
  readonly taskIndex: number;
}

function acknowledgeTask(
  update: Update,
  home: Home,
  { job, taskIndex }: EndedTask,
): void {
  const task = job.tasks[taskIndex];
  if (task !== undefined && task.taskId !== "") {
    const { sliceId, taskId } = task;
    acknowledge(update, home, { sliceId, taskIds: [taskId] });
  }
}
