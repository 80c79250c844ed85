import type { Update } from "@mustardweir/kernel";
import {
  APPEND_JOURNAL,
  type JournalRecord,
  JournalRecordKind,
} from "@mustardweir/journal";
import { EndReason, JobKind, Outcome } from "@mustardweir/model";
import {
  count,
  HomeReplyKind,
  observe,
  PeerMessageKind,
  sendPeer,
} from "@mustardweir/protocol";
import { acknowledge } from "./acknowledge.ts";
import {
  type Home,
  type HomeJob,
  type HomeTask,
  TaskState,
  type Waiter,
} from "./home_state.ts";
import { removeAttempt, setTaskState } from "./queue.ts";
import { describeJob } from "./status.ts";
import { describeWork, WORK_ENDED } from "./work_events.ts";

/** Ends a task, and its job if it is the last task. */
export function endTask(
  update: Update,
  home: Home,
  { task, reason }: { readonly task: HomeTask; readonly reason: EndReason },
): void {
  if (task.state === TaskState.Ended) {
    return;
  }
  const { job, sliceId, taskId } = task;
  removeAttempt(home, task);
  setTaskState(home, task, TaskState.Ended);
  task.endReason = reason;
  const isLast = job.endedTasks === job.tasks.length;
  if (isLast) {
    endJob(update, home, job);
  } else if (job.journaled) {
    appendRecords(update, home, [{
      kind: JournalRecordKind.TaskEnded,
      jobId: job.jobId,
      taskIndex: task.index,
      reason,
    }]);
  }
  if (!job.journaled && taskId !== "") {
    acknowledge(update, home, { sliceId, taskIds: [taskId] });
  }
}

/** Adds records to the journal of a home. */
export function appendRecords(
  update: Update,
  home: Home,
  records: readonly JournalRecord[],
): void {
  update.dispatch(APPEND_JOURNAL, { team: home.team, records });
}

/** Ends a job that was never started, or whose last task has ended. */
export function endJob(update: Update, home: Home, job: HomeJob): void {
  job.outcome = outcomeOf(job);
  job.reason = reasonOf(job);
  job.endedAt = update.now;
  home.urgent.drop(job);
  home.normal.drop(job);
  const { outcome, reason } = job;
  const work = describeWork(home, job);
  update.dispatch(WORK_ENDED, { ...work, outcome, reason });
  update.emit(count(`jobs_ended_${job.outcome.replaceAll("-", "_")}`));
  if (job.firstStartAt !== undefined) {
    update.emit(
      observe(`wait_${job.spec.kind}_ms`, job.firstStartAt - job.createdAt),
    );
  }
  if (job.journaled) {
    appendRecords(update, home, [{
      kind: JournalRecordKind.JobEnded,
      jobId: job.jobId,
      outcome: job.outcome,
      reason: job.reason,
      ...(job.answer === undefined ? {} : { answer: job.answer }),
    }]);
  } else {
    publishEnd(update, home, job);
  }
}

/**
 * Reports a job's end to its waiters. Called when the end is durable or needs
 * no record.
 */
export function publishEnd(update: Update, home: Home, job: HomeJob): void {
  job.endRecorded = true;
  home.liveJobs -= 1;
  for (
    const waiters of [job.acceptWaiters, job.endWaiters, job.cancelWaiters]
  ) {
    answerWaiters(update, home, { job, waiters });
  }
}

/** Replies to the waiters with the job's status and removes them. */
export function answerWaiters(
  update: Update,
  home: Home,
  { job, waiters }: { readonly job: HomeJob; readonly waiters: Waiter[] },
): void {
  for (const { from, callId } of waiters.splice(0)) {
    update.emit(sendPeer(from, {
      kind: PeerMessageKind.HomeReply,
      callId,
      reply: {
        kind: HomeReplyKind.Status,
        status: describeJob(job, { team: home.team }),
      },
    }));
  }
}

function outcomeOf(job: HomeJob): Outcome {
  if (job.tasks.some(({ endReason }) => endReason === EndReason.Lost)) {
    return Outcome.Unknown;
  }
  if (job.firstStartAt !== undefined) {
    return Outcome.Done;
  }
  return job.mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
}

function reasonOf(job: HomeJob): EndReason {
  const reasons = new Set(job.tasks.map(({ endReason }) => endReason));
  const byRank = [
    EndReason.Lost,
    EndReason.Cancelled,
    EndReason.Failed,
    EndReason.Preempted,
    EndReason.DeadlinePassed,
    EndReason.Impossible,
  ];
  return byRank.find((reason) => reasons.has(reason)) ?? EndReason.Completed;
}

/** True for services; other jobs end by themselves. */
export function runsUntilCancelled(job: HomeJob): boolean {
  return job.spec.kind === JobKind.Service;
}
