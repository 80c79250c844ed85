import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Resources,
  subtractResources,
  WorkerState,
} from "@mustardweir/model";
import { REPLICA } from "@mustardweir/replica";
import type { Hold } from "@mustardweir/reservations";
import { isFresh, type Session } from "@mustardweir/sessions";
import {
  DISPATCH_STATE,
  findTask,
  isOpen,
  reservedSize,
  type StageRun,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import { WORKER_HEALTH } from "./health.ts";
import { findHold } from "./running_work.ts";
import { capacityBeingFreed, listVictims } from "./victims.ts";

/**
 * Shortest time without progress after which a running task is stalled, in
 * milliseconds.
 */
const MIN_STALL_TIMEOUT_MS = 1_300;
/**
 * The same as a share of the task's estimated duration, because progress is
 * reported in whole percent.
 */
const STALL_SHARE = 0.05;

/** A worker on which tasks can be started. */
export interface Candidate {
  readonly session: Readonly<Session>;
  free: Resources;
  /** Free resources once the tasks that are being stopped have ended. */
  expected: Resources;
  /** Tasks that can be preempted, in the order in which they are chosen. */
  readonly victims: TaskRun[];
  /** Whether the worker runs a task with a latency objective. */
  hasLatencyTask: boolean;
  /** Whether the worker runs a best-effort task. */
  hasBestEffortTask: boolean;
  /**
   * Smoothed run time on this worker relative to the mean of each stage; 1 is
   * average.
   */
  readonly slowness: number;
  /** Number of tasks of each stage that are being placed here. */
  readonly reserved: Map<StageRun, number>;
  /** Whether no attempt there is in its first moments. */
  isQuiet: boolean;
  /** The only unit that may start there now; undefined for any. */
  probationOf: IsolationUnit | undefined;
  /** Room there that is held for a stage; undefined for none. */
  hold: Hold | undefined;
}

/** What starts alone once it has crashed a worker: a task, or its gang. */
export type IsolationUnit = TaskRun | StageRun;

/** Returns the task itself, or its stage if that is a gang. */
export function isolationUnit(task: TaskRun): IsolationUnit {
  return task.stage.spec.gang ? task.stage : task;
}

/** Returns whether the task or a member of its gang has crashed workers. */
export function isSuspect(task: TaskRun): boolean {
  const { stage } = task;
  return task.crashes > 0 ||
    (stage.spec.gang && stage.tasks.some(({ crashes }) => crashes > 0));
}

/**
 * Returns whether the task may start there as far as suspects are concerned: a
 * suspect must be alone on a worker in its first moments.
 */
export function admits(
  candidate: Candidate,
  { task, isIsolated }: {
    readonly task: TaskRun;
    /** Whether the task is a suspect that must start alone. */
    readonly isIsolated: boolean;
  },
): boolean {
  const { probationOf, isQuiet } = candidate;
  if (probationOf !== undefined && probationOf !== isolationUnit(task)) {
    return false;
  }
  // Members of a gang that are placed together share the worker.
  return isQuiet || !isIsolated ||
    (task.stage.spec.gang && candidate.reserved.has(task.stage));
}

/** Returns whether tasks may be given to the worker at all. */
export function isEligible(
  update: Update,
  session: Readonly<Session>,
): boolean {
  return session.isRegistered && session.isReconciled && session.isRecorded &&
    !session.isClosed && session.missed === 0 && session.clock !== undefined &&
    session.info.state === WorkerState.Ready &&
    isRegistrationCurrent(session) &&
    !update.read(REPLICA).drainedZones.has(session.info.zone) &&
    !update.read(WORKER_HEALTH).isRefusing(session.info.id, update.now) &&
    !hasForeignAttempt(session);
}

/**
 * Returns whether the registration, with its capacity, is that of the
 * incarnation that replies.
 */
function isRegistrationCurrent(
  { incarnation, info }: Readonly<Session>,
): boolean {
  return incarnation === 0 || info.incarnation === 0 ||
    incarnation === info.incarnation;
}

function hasForeignAttempt({ attempts }: Readonly<Session>): boolean {
  for (const { isForeign } of attempts.values()) {
    if (isForeign) {
      return true;
    }
  }
  return false;
}

/** Returns undefined if a task on the worker is stalled. */
export function createCandidate(
  update: Update,
  session: Readonly<Session>,
): Candidate | undefined {
  let used = NO_RESOURCES;
  let hasLatencyTask = false;
  let hasBestEffortTask = false;
  let isQuiet = true;
  let probationOf: IsolationUnit | undefined = findHolder(update, session);
  let isStoppingAny = false;
  const tasks: TaskRun[] = [];
  for (const attempt of session.attempts.values()) {
    used = addResources(used, attempt.size);
    const placed = findTask(update, attempt.task);
    if (isFresh(session, attempt)) {
      isQuiet = false;
      if (placed !== undefined && isSuspect(placed)) {
        probationOf = isolationUnit(placed);
      }
    }
    if (placed === undefined) {
      continue;
    }
    if (isStalled(placed, update.now)) {
      return undefined;
    }
    tasks.push(placed);
    isStoppingAny ||= placed.isStopping;
    const { spec } = placed.stage;
    hasLatencyTask ||= spec.latencyObjectiveMs > 0;
    hasBestEffortTask ||= spec.bestEffort;
  }
  const free = subtractResources(session.info.capacity, used);
  return {
    session,
    free,
    expected: isStoppingAny
      ? addResources(free, capacityBeingFreed(tasks))
      : free,
    victims: listVictims(tasks),
    hasLatencyTask,
    hasBestEffortTask,
    slowness: update.read(WORKER_HEALTH).slowness(session.info.id),
    reserved: new Map(),
    isQuiet,
    probationOf,
    hold: findHold(update, session),
  };
}

/** Returns the task for which the worker is held. */
function findHolder(
  update: Update,
  { info }: Readonly<Session>,
): TaskRun | undefined {
  const hold = update.read(DISPATCH_STATE).holds.get(info.id);
  return hold !== undefined && hold.untilMs > update.now &&
      hold.task.phase === TaskPhase.Waiting && isOpen(hold.task.stage.job)
    ? hold.task
    : undefined;
}

/** Returns whether the task runs but has made no progress for too long. */
function isStalled(task: TaskRun, now: number): boolean {
  const { spec } = task.stage;
  const stallTimeoutMs = Math.max(
    MIN_STALL_TIMEOUT_MS,
    spec.estimateMs * STALL_SHARE,
  );
  return task.phase === TaskPhase.Placed && task.isRunning &&
    !task.isStopping && !spec.lasting && task.percent < 100 &&
    now - task.progressedMs > stallTimeoutMs;
}

/** Returns whether the worker has the label that the stage requires. */
export function hasRequiredLabel(
  { session }: Candidate,
  { spec }: StageRun,
): boolean {
  return spec.requiredLabel === "" ||
    session.info.labels.includes(spec.requiredLabel);
}

/**
 * Returns whether a task of the stage would fit on the worker if it were empty.
 */
export function fitsWhenEmpty(
  stage: StageRun,
  { session }: Candidate,
): boolean {
  return fitsWithin(reservedSize(stage), session.info.capacity);
}

/** Returns whether room there is held from the stage that is being placed. */
export function isHeld({ hold }: Candidate): boolean {
  return hold !== undefined && !hold.reservation.isOpen;
}

/** Returns the free room of the worker that is held for no stage. */
export function unheldRoom({ hold, free }: Candidate): Resources {
  return hold === undefined ? free : subtractResources(free, hold.room);
}

/** Returns the resources that tasks could get after stopping all victims. */
export function roomAfterPreemption(
  { expected, victims }: Candidate,
): Resources {
  let room = expected;
  for (const { stage } of victims) {
    room = addResources(room, reservedSize(stage));
  }
  return room;
}

/** Returns whether a task of this size would fit after stopping all victims. */
export function fitsAfterStopping(
  { expected, victims }: Candidate,
  size: Resources,
): boolean {
  // A pass asks this for each worker of the pool and each urgent stage, so the
  // sums are no objects, and workers without victims cost one comparison.
  let { cpuMillis, memoryMb, accelerators, slots } = expected;
  for (const { stage } of victims) {
    const freed = reservedSize(stage);
    cpuMillis += freed.cpuMillis;
    memoryMb += freed.memoryMb;
    accelerators += freed.accelerators;
    slots += freed.slots;
  }
  return size.cpuMillis <= cpuMillis && size.memoryMb <= memoryMb &&
    size.accelerators <= accelerators && size.slots <= slots;
}

/** Returns whether one more task of the stage can start on the worker now. */
export function fitsNow(candidate: Candidate, stage: StageRun): boolean {
  const { spec } = stage;
  if (
    !fitsWithin(
      reservedSize(stage),
      isHeld(candidate) ? unheldRoom(candidate) : candidate.free,
    ) ||
    !hasRequiredLabel(candidate, stage)
  ) {
    return false;
  }
  // How best-effort tasks and tasks with a latency objective interfere isn't
  // known in advance, so they never share a worker.
  if (spec.bestEffort && candidate.hasLatencyTask) {
    return false;
  }
  if (spec.latencyObjectiveMs > 0 && candidate.hasBestEffortTask) {
    return false;
  }
  return spec.maxPerWorker === 0 ||
    countTasksOn(stage, candidate) < spec.maxPerWorker;
}

/** Reserves resources on the candidate for the task. */
export function reserve(candidate: Candidate, task: TaskRun): void {
  const { stage } = task;
  candidate.isQuiet = false;
  if (isSuspect(task)) {
    candidate.probationOf = isolationUnit(task);
  }
  const size = reservedSize(stage);
  candidate.free = subtractResources(candidate.free, size);
  candidate.expected = subtractResources(candidate.expected, size);
  candidate.hasLatencyTask ||= stage.spec.latencyObjectiveMs > 0;
  candidate.hasBestEffortTask ||= stage.spec.bestEffort;
  candidate.reserved.set(stage, (candidate.reserved.get(stage) ?? 0) + 1);
}

/**
 * Returns the number of the stage's tasks that are placed on the worker or
 * reserved there.
 */
export function countTasksOn(
  stage: StageRun,
  { session, reserved }: Candidate,
): number {
  const placed = stage.tasks.filter((task) =>
    task.phase === TaskPhase.Placed && task.workerId === session.info.id
  );
  return placed.length + (reserved.get(stage) ?? 0);
}

/**
 * Clears the stage's reservation counts once its tasks were placed or the
 * reservations undone.
 */
export function clearReservations(
  candidates: Iterable<Candidate>,
  stage: StageRun,
): void {
  for (const { reserved } of candidates) {
    reserved.delete(stage);
  }
}
