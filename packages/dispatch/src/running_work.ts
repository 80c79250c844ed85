import type { Update } from "@mustardweir/kernel";
import {
  type Hold,
  keptRoom,
  RESERVATIONS,
  type RunningWork,
} from "@mustardweir/reservations";
import { expectedRun } from "@mustardweir/run-times";
import type { Session, SessionAttempt } from "@mustardweir/sessions";
import { findTask, type TaskRun } from "./dispatch_state.ts";
import { WORKER_HEALTH } from "./health.ts";
import { isPreemptible } from "./victims.ts";

/** Time that a stop takes at most, in milliseconds: `bounds.stop_ms`. */
const STOP_MS = 900;
/**
 * Time that a task which is past its expected end is expected to take: at least
 * this in milliseconds, and this share of the time that it has run.
 */
const MIN_OVERDUE_MS = 100;
const OVERDUE_SHARE = 0.25;

/** Returns what uses room on the worker and when it is expected to end. */
export function listRunningWork(
  update: Update,
  session: Readonly<Session>,
): RunningWork[] {
  return [...session.attempts.values()].map((attempt) => {
    const task = findTask(update, attempt.task);
    const isCurrent = task !== undefined && !task.isStopping &&
      task.workerId === session.info.id && task.attempt === attempt.attempt;
    return {
      name: attempt.task,
      size: attempt.size,
      endMs: isCurrent
        ? expectedEndMs(update, task)
        : stoppedMs(update, attempt),
      startedMs: attempt.startedMs,
      priority: task?.stage.job.record.queue.priority ?? 0,
      preemptions: task?.preemptions ?? 0,
      isPreemptible: isCurrent && isPreemptible(task),
    };
  });
}

/** Returns the hold on the worker; undefined without one. */
export function findHold(
  update: Update,
  session: Readonly<Session>,
): Hold | undefined {
  const { id } = session.info;
  const reservation = update.read(RESERVATIONS).holderOf(id);
  return reservation && {
    reservation,
    room: keptRoom(reservation, id, listRunningWork(update, session)),
  };
}

/**
 * Returns when the task is expected to have ended, in milliseconds: by the upper
 * estimate and the progress that its worker listed, or by the pace of that
 * progress if it is slower, since estimates may be far too low.
 */
function expectedEndMs(update: Update, task: TaskRun): number {
  const { stage: { spec, job }, workerId, percent, placedMs } = task;
  if (spec.lasting) {
    return Infinity;
  }
  const { upperMs } = expectedRun(update, {
    queue: job.record.queue.name,
    estimateMs: spec.estimateMs,
  });
  const runMs = upperMs * update.read(WORKER_HEALTH).slowness(workerId);
  const fromMs = percent > 0 ? task.progressedMs : placedMs;
  const paceMs = percent > 0 ? (fromMs - placedMs) / percent : 0;
  const endMs = fromMs + (100 - percent) * Math.max(runMs / 100, paceMs);
  return endMs > update.now ? endMs : update.now +
    Math.max(MIN_OVERDUE_MS, OVERDUE_SHARE * (update.now - placedMs));
}

/** Returns when an attempt that is being stopped has ended, in milliseconds. */
function stoppedMs(update: Update, { sinceMs }: SessionAttempt): number {
  return Math.max(sinceMs + STOP_MS, update.now + MIN_OVERDUE_MS);
}
