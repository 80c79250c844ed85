import type { Update } from "@mustardweir/kernel";
import { EndReason } from "@mustardweir/model";
import { StopMode } from "@mustardweir/protocol";
import {
  groupBySlice,
  sendAsks,
  sendStops,
  sendWithdrawal,
} from "./ask_messages.ts";
import { endTask } from "./ending.ts";
import { fenceSlices } from "./fencing.ts";
import { advanceGang } from "./gang.ts";
import {
  GangPhase,
  type Home,
  type HomeJob,
  HomePhase,
  type HomeTask,
  TaskState,
} from "./home_state.ts";
import { requeueFirst } from "./queue.ts";
import { rebalance } from "./rebalance.ts";
import { continueCancels } from "./recovery.ts";
import { trimToCeiling } from "./trim.ts";

/** Time after which an unanswered message is sent again, in milliseconds. */
const RESEND_MS = 500;

/** How long ended jobs stay known, in milliseconds. */
const RETENTION_MS = 10 * 60 * 1_000;

/** Time between looks at a late job that has not ended, in milliseconds. */
const LATE_RETRY_MS = 100;

/** More deadlines than this for each job that has not ended are cleared. */
const MAX_DEADLINES_PER_JOB = 16;

/** Most ended jobs that stay known, but for those that run at most once. */
const MAX_ENDED_JOBS = 5_000;

/** Sends again what may have been lost and ends what is too late. */
export function maintain(update: Update, home: Home): void {
  fenceSlices(update, home);
  if (home.phase === HomePhase.Active) {
    continueCancels(update, home);
    endLate(update, home);
  }
  trimToCeiling(update, home);
  resendAsks(update, home);
  resendStops(update, home);
  rebalance(update, home);
  advanceGangs(update, home);
  for (const task of home.delayed.takeDue(update.now)) {
    requeueFirst(home, task);
  }
}

function advanceGangs(update: Update, home: Home): void {
  for (const job of home.activeGangs) {
    if (job.gang === GangPhase.Idle || job.endRecorded) {
      home.activeGangs.delete(job);
    } else {
      advanceGang(update, home, job);
    }
  }
}

function resendAsks(update: Update, home: Home): void {
  const late = [...home.bySeq.values()].filter((task) =>
    update.now - task.sentAt >= RESEND_MS
  );
  for (const [sliceId, tasks] of groupBySlice(late)) {
    const kept = tasks.filter(mayBeAskedAgain);
    const withdrawn = tasks.filter((task) => task.withdrawn);
    if (kept.length > 0) {
      sendAsks(update, home, { sliceId, tasks: kept });
    }
    if (withdrawn.length > 0) {
      sendWithdrawal(update, home, { sliceId, tasks: withdrawn });
    }
  }
}

/** Holds that add up last as long as they are asked for. */
function mayBeAskedAgain({ state, withdrawn, job }: HomeTask): boolean {
  const isWaiting = state === TaskState.Asked ||
    (state === TaskState.Held && job.accumulates);
  return isWaiting && !withdrawn;
}

function resendStops(update: Update, home: Home): void {
  for (const task of home.stopping) {
    if (!task.stopping || task.state === TaskState.Ended) {
      home.stopping.delete(task);
    }
  }
  const late = [...home.stopping].filter((task) =>
    task.state === TaskState.Started &&
    update.now - task.sentAt >= RESEND_MS
  );
  for (const [sliceId, tasks] of groupBySlice(late)) {
    for (const mode of [StopMode.Cancel, StopMode.Preempt]) {
      const group = tasks.filter((task) => stopMode(task) === mode);
      if (group.length > 0) {
        sendStops(update, home, { sliceId, tasks: group, mode });
      }
    }
  }
}

function stopMode(task: HomeTask): StopMode {
  return task.job.cancelled ? StopMode.Cancel : StopMode.Preempt;
}

/** Ends, or takes back, work that is of no use any more. */
function endLate(update: Update, home: Home): void {
  for (const job of home.deadlines.takeDue(update.now)) {
    if (mayBeLate(job)) {
      endIfLate(update, home, job);
    }
  }
  if (home.deadlines.size > MAX_DEADLINES_PER_JOB * home.liveJobs) {
    home.deadlines.retain(mayBeLate);
  }
}

function mayBeLate(job: HomeJob): boolean {
  return job.firstStartAt === undefined && !job.endRecorded;
}

/** Looks again until the job has started or ended: an answer may be due. */
function endIfLate(update: Update, home: Home, job: HomeJob): void {
  if (job.accepted && update.now >= job.startBy) {
    endLateJob(update, home, job);
  }
  const lookAgainAt = update.now + LATE_RETRY_MS;
  home.deadlines.push(Math.max(job.startBy, lookAgainAt), job);
}

function endLateJob(update: Update, home: Home, job: HomeJob): void {
  for (const task of job.tasks) {
    if (task.state === TaskState.Pending) {
      endTask(update, home, { task, reason: EndReason.DeadlinePassed });
    }
  }
  const asked = job.tasks.filter((task) =>
    task.state === TaskState.Asked && !task.withdrawn
  );
  for (const [sliceId, tasks] of groupBySlice(asked)) {
    sendWithdrawal(update, home, { sliceId, tasks });
  }
}

/**
 * Forgets jobs that ended long ago, and earlier what is too many. What must not
 * run twice is kept for as long as callers repeat their requests.
 */
export function forgetEnded(update: Update, home: Home): void {
  const ended = [...home.jobs.values()].filter((job) => job.endRecorded);
  const excess = ended.length - MAX_ENDED_JOBS;
  for (const [index, job] of ended.entries()) {
    const isOld = update.now - job.endedAt > RETENTION_MS;
    if (isOld || (index < excess && job.spec.idempotent)) {
      home.jobs.delete(job.jobId);
    }
    if (!isOld && index < excess) {
      home.forgotten.add(job.jobId, update.now);
    }
  }
}
