import type { Update } from "@mustardweir/kernel";
import { EndReason } from "@mustardweir/model";
import { StopMode } from "@mustardweir/protocol";
import {
  groupBySlice,
  sendAsks,
  sendStops,
  sendWithdrawal,
} from "./slice_messages.ts";
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
import { requeueAtFront } from "./queue.ts";
import { rebalance } from "./rebalance.ts";
import { continueCancels } from "./recovery.ts";
import { trimToCeiling } from "./trim.ts";

/** Time after which an unanswered message is sent again, in milliseconds. */
const RESEND_MS = 500;

/** How long ended jobs are kept, in milliseconds. */
const RETENTION_MS = 10 * 60 * 1_000;

/** Interval between checks of an overdue job, in milliseconds. */
const OVERDUE_CHECK_MS = 100;

/**
 * Obsolete deadlines are removed once there are more than this per unfinished
 * job.
 */
const MAX_DEADLINES_PER_JOB = 16;

/**
 * Largest number of ended jobs that are kept, except jobs that must not run
 * twice.
 */
const MAX_ENDED_JOBS = 5_000;

/** Repeats messages that may have been lost and ends overdue jobs. */
export function maintainHome(update: Update, home: Home): void {
  fenceSlices(update, home);
  if (home.phase === HomePhase.Active) {
    continueCancels(update, home);
    endOverdueJobs(update, home);
  }
  trimToCeiling(update, home);
  resendAsks(update, home);
  resendStops(update, home);
  rebalance(update, home);
  advanceGangs(update, home);
  for (const task of home.delayed.takeDue(update.now)) {
    requeueAtFront(home, task);
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
    update.now - task.lastSentAt >= RESEND_MS
  );
  for (const [sliceId, tasks] of groupBySlice(late)) {
    const kept = tasks.filter(canResend);
    const withdrawn = tasks.filter((task) => task.withdrawn);
    if (kept.length > 0) {
      sendAsks(update, home, { sliceId, tasks: kept });
    }
    if (withdrawn.length > 0) {
      sendWithdrawal(update, home, { sliceId, tasks: withdrawn });
    }
  }
}

/**
 * Whether the ask of a task is sent again. This includes asks whose hold a gang
 * accumulates: such a hold lasts only while its ask is repeated.
 */
function canResend({ state, withdrawn, job }: HomeTask): boolean {
  const isWaiting = state === TaskState.Asked ||
    (state === TaskState.Held && job.accumulatesHolds);
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
    update.now - task.lastSentAt >= RESEND_MS
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

/** Ends jobs whose start deadline has passed, and withdraws their asks. */
function endOverdueJobs(update: Update, home: Home): void {
  for (const job of home.deadlines.takeDue(update.now)) {
    if (awaitsFirstStart(job)) {
      endIfOverdue(update, home, job);
    }
  }
  if (home.deadlines.size > MAX_DEADLINES_PER_JOB * home.liveJobs) {
    home.deadlines.retain(awaitsFirstStart);
  }
}

function awaitsFirstStart(job: HomeJob): boolean {
  return job.firstStartAt === undefined && !job.endRecorded;
}

/**
 * Checks again until the job has started or ended, as an ask may be unanswered.
 */
function endIfOverdue(update: Update, home: Home, job: HomeJob): void {
  if (job.accepted && update.now >= job.startBy) {
    endOverdueJob(update, home, job);
  }
  const nextCheckAt = update.now + OVERDUE_CHECK_MS;
  home.deadlines.push(Math.max(job.startBy, nextCheckAt), job);
}

function endOverdueJob(update: Update, home: Home, job: HomeJob): void {
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
 * Evicts jobs that ended long ago, and recently ended ones above the limit.
 * Jobs that must not run twice are kept for as long as callers repeat their
 * requests.
 */
export function evictEndedJobs(update: Update, home: Home): void {
  const ended = [...home.jobs.values()].filter((job) => job.endRecorded);
  const excess = ended.length - MAX_ENDED_JOBS;
  for (const [index, job] of ended.entries()) {
    const isOld = update.now - job.endedAt > RETENTION_MS;
    if (isOld || (index < excess && job.spec.idempotent)) {
      home.jobs.delete(job.jobId);
    }
    if (!isOld && index < excess) {
      home.evicted.add(job.jobId, update.now);
    }
  }
}
