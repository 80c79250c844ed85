import type { Update } from "@mustardweir/kernel";
import { EndReason } from "@mustardweir/model";
import { StopMode } from "@mustardweir/protocol";
import {
  ACCUMULATION_TTL_MS,
  groupBySlice,
  HOLD_TTL_MS,
  sendCommit,
  sendStops,
  sendWithdrawal,
} from "./slice_messages.ts";
import { endTask } from "./ending.ts";
import {
  GangPhase,
  type Home,
  type HomeJob,
  type HomeTask,
  TaskState,
} from "./home_state.ts";

/**
 * Shortest delay before a gang that did not get all its room tries again, in
 * milliseconds.
 */
const RETRY_DELAY_MS = 150;

/**
 * Upper bound of the random part of the delay, in milliseconds, which keeps
 * gangs from colliding again.
 */
const RETRY_JITTER_MS = 300;

/**
 * Age at which holds are released, in milliseconds, before they expire in their
 * slice.
 */
const HOLD_LIMIT_MS = HOLD_TTL_MS / 2;

/** The same for a gang that accumulates holds. */
const ACCUMULATION_LIMIT_MS = ACCUMULATION_TTL_MS / 2;

/**
 * Advances the gang: commits once all room is held, releases when that takes
 * too long.
 */
export function advanceGang(update: Update, home: Home, job: HomeJob): void {
  switch (job.gang) {
    case GangPhase.Holding:
      advanceHolding(update, home, job);
      break;
    case GangPhase.Committed:
      resendCommit(update, home, job);
      handleFailedStarts(update, home, job);
      break;
    case GangPhase.Releasing:
      finishRelease(update, job);
      break;
    default:
      break;
  }
}

function advanceHolding(update: Update, home: Home, job: HomeJob): void {
  const limitMs = job.accumulatesHolds ? ACCUMULATION_LIMIT_MS : HOLD_LIMIT_MS;
  const isLate = job.tasks.some((task) =>
    hasOpenAsk(task) && update.now - task.askedAt > limitMs
  );
  const hasLostMember = job.tasks.some(({ state }) =>
    state === TaskState.Pending
  );
  if (isLate || hasLostMember || job.cancelled) {
    releaseGang(update, home, job);
    return;
  }
  const isComplete = job.tasks.every(({ state }) =>
    state === TaskState.Held || state === TaskState.Ended
  );
  if (isComplete) {
    job.gang = GangPhase.Committed;
    resendCommit(update, home, job);
  }
}

/** Withdraws the asks and holds of a gang and stops its running tasks. */
function releaseGang(update: Update, home: Home, job: HomeJob): void {
  job.gang = GangPhase.Releasing;
  home.activeGangs.add(job);
  const asked = job.tasks.filter(hasOpenAsk);
  for (const [sliceId, tasks] of groupBySlice(asked)) {
    sendWithdrawal(update, home, { sliceId, tasks });
  }
  const started = job.tasks.filter(({ state }) => state === TaskState.Started);
  for (const [sliceId, tasks] of groupBySlice(started)) {
    sendStops(update, home, { sliceId, tasks, mode: StopMode.Preempt });
  }
  finishRelease(update, job);
}

function finishRelease(update: Update, job: HomeJob): void {
  const isReleased = job.tasks.every(({ state }) =>
    state === TaskState.Pending || state === TaskState.Ended
  );
  if (!isReleased) {
    return;
  }
  job.gang = GangPhase.Idle;
  const jitter = update.random.below(RETRY_JITTER_MS);
  job.gangRetryAt = update.now + RETRY_DELAY_MS + jitter;
  for (const task of job.tasks) {
    task.stopping = job.cancelled;
  }
}

/** Repeats the commit for tasks whose start was not confirmed. */
function resendCommit(update: Update, home: Home, job: HomeJob): void {
  const held = job.tasks.filter(({ state }) => state === TaskState.Held);
  for (const [sliceId, tasks] of groupBySlice(held)) {
    sendCommit(update, home, { sliceId, tasks });
  }
}

/**
 * Handles starts that failed after a commit: all members start again together
 * or, if they must not run twice, those that could not start end as failed.
 */
function handleFailedStarts(update: Update, home: Home, job: HomeJob): void {
  const waiting = job.tasks.filter(({ state }) => state === TaskState.Pending);
  if (waiting.length === 0 || job.tasks.some(hasOpenAsk)) {
    return;
  }
  const hasStarted = waiting.length < job.tasks.length;
  if (job.spec.idempotent || !hasStarted) {
    releaseGang(update, home, job);
    return;
  }
  for (const task of waiting) {
    endTask(update, home, { task, reason: EndReason.Failed });
  }
}

/**
 * Stops the other members after one was lost, so that all start again together.
 */
export function restartBrokenGang(
  update: Update,
  home: Home,
  job: HomeJob,
): void {
  const isUnderWay = job.gang === GangPhase.Committed ||
    job.gang === GangPhase.Holding || job.gang === GangPhase.Idle;
  const canRestart = job.spec.idempotent && !job.cancelled;
  const willRestart = job.tasks.some(({ state }) =>
    state === TaskState.Pending
  );
  if (isUnderWay && canRestart && willRestart) {
    releaseGang(update, home, job);
  }
}

function hasOpenAsk(task: HomeTask): boolean {
  return task.state === TaskState.Asked || task.state === TaskState.Held;
}
