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
} from "./ask_messages.ts";
import { endTask } from "./ending.ts";
import {
  GangPhase,
  type Home,
  type HomeJob,
  type HomeTask,
  TaskState,
} from "./home_state.ts";

/** A gang that could not get all its room tries again after this, plus. */
const RETRY_MS = 150;

/** Random part of the delay, so that gangs don't collide again. */
const RETRY_JITTER_MS = 300;

/** Holds older than this are given back: their slice may let them lapse. */
const HOLD_LIMIT_MS = HOLD_TTL_MS / 2;

/** The same while the gang's holds add up. */
const ACCUMULATION_LIMIT_MS = ACCUMULATION_TTL_MS / 2;

/** Takes the gang a step on: commit when all is held, release when late. */
export function advanceGang(update: Update, home: Home, job: HomeJob): void {
  switch (job.gang) {
    case GangPhase.Holding:
      advanceHolding(update, home, job);
      break;
    case GangPhase.Committed:
      resendCommit(update, home, job);
      settleCommitted(update, home, job);
      break;
    case GangPhase.Releasing:
      finishRelease(update, job);
      break;
    default:
      break;
  }
}

function advanceHolding(update: Update, home: Home, job: HomeJob): void {
  const limitMs = job.accumulates ? ACCUMULATION_LIMIT_MS : HOLD_LIMIT_MS;
  const isLate = job.tasks.some((task) =>
    isPartOfAsk(task) && update.now - task.askedAt > limitMs
  );
  const isBroken = job.tasks.some(({ state }) => state === TaskState.Pending);
  if (isLate || isBroken || job.cancelled) {
    releaseGang(update, home, job);
    return;
  }
  const isWhole = job.tasks.every(({ state }) =>
    state === TaskState.Held || state === TaskState.Ended
  );
  if (isWhole) {
    job.gang = GangPhase.Committed;
    resendCommit(update, home, job);
  }
}

/** Gives back all that is asked for, held or running. */
function releaseGang(update: Update, home: Home, job: HomeJob): void {
  job.gang = GangPhase.Releasing;
  home.activeGangs.add(job);
  const asked = job.tasks.filter(isPartOfAsk);
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
  const isOver = job.tasks.every(({ state }) =>
    state === TaskState.Pending || state === TaskState.Ended
  );
  if (!isOver) {
    return;
  }
  job.gang = GangPhase.Idle;
  const jitter = update.random.below(RETRY_JITTER_MS);
  job.gangNotBefore = update.now + RETRY_MS + jitter;
  for (const task of job.tasks) {
    task.stopping = job.cancelled;
  }
}

/** Asks again for the starts that were not confirmed. */
function resendCommit(update: Update, home: Home, job: HomeJob): void {
  const held = job.tasks.filter(({ state }) => state === TaskState.Held);
  for (const [sliceId, tasks] of groupBySlice(held)) {
    sendCommit(update, home, { sliceId, tasks });
  }
}

/**
 * Some of the starts came to nothing: all members start again together, or,
 * when they must not run twice, those that could not start have failed.
 */
function settleCommitted(update: Update, home: Home, job: HomeJob): void {
  const waiting = job.tasks.filter(({ state }) => state === TaskState.Pending);
  if (waiting.length === 0 || job.tasks.some(isPartOfAsk)) {
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

/** One member is gone: the others stop, and all start again together. */
export function noteGangLoss(update: Update, home: Home, job: HomeJob): void {
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

function isPartOfAsk(task: HomeTask): boolean {
  return task.state === TaskState.Asked || task.state === TaskState.Held;
}
