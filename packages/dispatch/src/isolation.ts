import type { Update } from "@mustardweir/kernel";
import { isFresh, markChanged, SESSIONS } from "@mustardweir/sessions";
import {
  type Candidate,
  fitsNow,
  type IsolationUnit,
  isolationUnit,
  isSuspect,
} from "./candidates.ts";
import {
  DISPATCH_STATE,
  isOpen,
  taskName,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";

/** Largest share of a pool's answering workers with a suspect on probation. */
const MAX_PROBATION_SHARE = 0.25;
/**
 * Time after which a suspect that may be on probation but finds no worker to be
 * alone on starts anywhere, so that it isn't starved, in milliseconds.
 */
const MAX_ISOLATION_WAIT_MS = 2_000;
/** Longest time for which a worker is held for a suspect, in milliseconds. */
const MAX_HOLD_MS = 2_000;

/**
 * Returns the tasks that may be placed now: suspects only while few of the
 * pool's workers have one on probation, and after the others.
 */
export function withinProbation(
  update: Update,
  pool: string,
  tasks: readonly TaskRun[],
): readonly TaskRun[] {
  if (!tasks.some(isSuspect)) {
    return tasks;
  }
  const ordinary = tasks.filter((task) => !isSuspect(task));
  const suspects = tasks.filter(isSuspect);
  const taken = listProbationWorkers(update, pool);
  let left = maxProbations(update, pool) - taken.size;
  const units = new Set<IsolationUnit>();
  const admitted = suspects.filter((task) => {
    const unit = isolationUnit(task);
    if (!units.has(unit) && !hasHold(update, task)) {
      if (left <= 0) {
        task.isolatedSinceMs = undefined;
        return false;
      }
      left--;
      units.add(unit);
    }
    task.isolatedSinceMs ??= update.now;
    task.isIsolationWaived =
      update.now - task.isolatedSinceMs > MAX_ISOLATION_WAIT_MS;
    return true;
  });
  return [...ordinary, ...admitted];
}

/**
 * Holds a worker for each task that found none to be alone on: no other task
 * starts there until its present ones have outlived their first moments.
 */
export function holdWorkers(
  update: Update,
  tasks: readonly TaskRun[],
  candidates: readonly Candidate[],
): void {
  const { holds } = update.write(DISPATCH_STATE);
  for (const task of tasks) {
    if (hasHold(update, task)) {
      continue;
    }
    const best = candidates
      .filter((candidate) =>
        candidate.probationOf === undefined && fitsNow(candidate, task.stage)
      )
      .sort((a, b) => a.session.attempts.size - b.session.attempts.size)[0];
    if (best === undefined) {
      continue;
    }
    const { id } = best.session.info;
    best.probationOf = task;
    holds.set(id, { task, untilMs: update.now + MAX_HOLD_MS });
    markChanged(update, id);
  }
}

function hasHold(update: Update, task: TaskRun): boolean {
  for (const hold of update.read(DISPATCH_STATE).holds.values()) {
    if (hold.task === task && hold.untilMs > update.now) {
      return true;
    }
  }
  return false;
}

function maxProbations(update: Update, pool: string): number {
  let workers = 0;
  for (const session of update.read(SESSIONS).byWorker.values()) {
    const isUp = session.isRegistered && session.missed === 0;
    workers += isUp && session.info.pool === pool ? 1 : 0;
  }
  return Math.max(1, Math.floor(workers * MAX_PROBATION_SHARE));
}

/**
 * Returns the workers that are held for suspects or have one in its first
 * moments, those that have fallen silent since included.
 */
function listProbationWorkers(
  update: Update,
  pool: string,
): ReadonlySet<string> {
  const { suspects, holds } = update.write(DISPATCH_STATE);
  const { byWorker } = update.read(SESSIONS);
  const workers = new Set<string>();
  for (const [workerId, { task, untilMs }] of holds) {
    if (untilMs <= update.now || task.phase !== TaskPhase.Waiting) {
      holds.delete(workerId);
    } else if (task.stage.job.record.queue.pool === pool) {
      workers.add(workerId);
    }
  }
  for (const task of suspects) {
    if (task.phase === TaskPhase.Done || !isOpen(task.stage.job)) {
      suspects.delete(task);
      continue;
    }
    const session = byWorker.get(task.workerId);
    const attempt = session?.attempts.get(
      `${taskName(task)}#${task.attempt}`,
    );
    if (
      session?.info.pool === pool && attempt !== undefined &&
      isFresh(session, attempt)
    ) {
      workers.add(task.workerId);
    }
  }
  return workers;
}
