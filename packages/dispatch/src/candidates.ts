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
import { type Session, SESSIONS } from "@mustardweir/sessions";
import {
  bookedSize,
  findTask,
  type StageRun,
  TaskPhase,
  type TaskRun,
} from "./book.ts";
import { WORKER_HEALTH } from "./health.ts";
import { listVictims, stoppingRoom } from "./victims.ts";

/** Largest part of a pool's workers that quarantine keeps out. */
const MAX_QUARANTINED_SHARE = 0.34;

/** A worker's task that makes no progress for so long stalls, in ms. */
const MIN_STALL_MS = 1_300;
/** The same as a part of the task's estimate; progress is told in percent. */
const STALL_SHARE = 0.05;

/** A worker that tasks may be started on. */
export interface Candidate {
  readonly session: Readonly<Session>;
  free: Resources;
  /** What will be free when the tasks that are being stopped have ended. */
  expected: Resources;
  /** Tasks that may be stopped for urgent work, best first. */
  readonly victims: TaskRun[];
  /** Runs a task with users of its own. */
  hasServing: boolean;
  /** Runs a task on what others leave. */
  hasBestEffort: boolean;
  /** How long runs take here, as a multiple of what is usual. */
  readonly slowness: number;
  /** Tasks of each stage that this round has booked here. */
  readonly booked: Map<StageRun, number>;
}

/** The workers that may be given work now, by pool. */
export function listCandidates(update: Update): Map<string, Candidate[]> {
  const { drainedZones } = update.read(REPLICA);
  const byPool = new Map<string, Candidate[]>();
  for (const session of update.read(SESSIONS).byWorker.values()) {
    if (!isEligible(update, session, drainedZones)) {
      continue;
    }
    const candidates = byPool.get(session.info.pool) ?? [];
    const candidate = createCandidate(update, session);
    if (candidate !== undefined) {
      candidates.push(candidate);
    }
    byPool.set(session.info.pool, candidates);
  }
  for (const [pool, candidates] of byPool) {
    byPool.set(pool, withoutQuarantined(update, candidates));
  }
  return byPool;
}

/** When many fail, the work is more likely at fault than the workers. */
function withoutQuarantined(
  update: Update,
  candidates: Candidate[],
): Candidate[] {
  const health = update.read(WORKER_HEALTH);
  const sound = candidates.filter(({ session }) =>
    !health.isQuarantined(session.info.id, update.now)
  );
  const out = candidates.length - sound.length;
  return out <= candidates.length * MAX_QUARANTINED_SHARE ? sound : candidates;
}

function isEligible(
  update: Update,
  session: Readonly<Session>,
  drainedZones: ReadonlyMap<string, number>,
): boolean {
  return session.isRegistered && session.isReconciled && session.isRecorded &&
    session.missed === 0 && session.clock !== undefined &&
    session.info.state === WorkerState.Ready &&
    !drainedZones.has(session.info.zone) &&
    ![...session.attempts.values()].some(({ isForeign }) => isForeign) &&
    !update.read(WORKER_HEALTH).isRefusing(session.info.id, update.now);
}

/** Undefined when the tasks there stand still. */
function createCandidate(
  update: Update,
  session: Readonly<Session>,
): Candidate | undefined {
  let used = NO_RESOURCES;
  let hasServing = false;
  let hasBestEffort = false;
  const tasks: TaskRun[] = [];
  for (const { task, size } of session.attempts.values()) {
    used = addResources(used, size);
    const placed = findTask(update, task);
    if (placed !== undefined && isStalled(placed, update.now)) {
      return undefined;
    }
    if (placed !== undefined) {
      tasks.push(placed);
    }
    const spec = placed?.stage.spec;
    hasServing ||= (spec?.latencyObjectiveMs ?? 0) > 0;
    hasBestEffort ||= spec?.bestEffort === true;
  }
  const free = subtractResources(session.info.capacity, used);
  return {
    session,
    free,
    expected: addResources(free, stoppingRoom(tasks)),
    victims: listVictims(tasks),
    hasServing,
    hasBestEffort,
    slowness: update.read(WORKER_HEALTH).slowness(session.info.id),
    booked: new Map(),
  };
}

/** True when the task runs and has not got on for longer than it should. */
function isStalled(task: TaskRun, now: number): boolean {
  const { spec } = task.stage;
  const patienceMs = Math.max(MIN_STALL_MS, spec.estimateMs * STALL_SHARE);
  return task.phase === TaskPhase.Placed && task.isRunning &&
    !task.isStopping && !spec.lasting && task.percent < 100 &&
    now - task.progressedMs > patienceMs;
}

/** True when the worker may ever run the stage, whatever is free now. */
export function suits({ session }: Candidate, { spec }: StageRun): boolean {
  return spec.requiredLabel === "" ||
    session.info.labels.includes(spec.requiredLabel);
}

/** True when the worker could hold a task of the stage if it were empty. */
export function couldHold(stage: StageRun, { session }: Candidate): boolean {
  return fitsWithin(bookedSize(stage), session.info.capacity);
}

/** True when one more task of the stage can start on the worker now. */
export function hasRoom(candidate: Candidate, stage: StageRun): boolean {
  const { spec } = stage;
  if (
    !suits(candidate, stage) || !fitsWithin(bookedSize(stage), candidate.free)
  ) {
    return false;
  }
  // Interference between the two isn't known beforehand, so they are kept
  // apart.
  if (spec.bestEffort && candidate.hasServing) {
    return false;
  }
  if (spec.latencyObjectiveMs > 0 && candidate.hasBestEffort) {
    return false;
  }
  return spec.maxPerWorker === 0 ||
    countOn(stage, candidate) < spec.maxPerWorker;
}

/** Books one task of the stage on the candidate. */
export function book(candidate: Candidate, stage: StageRun): void {
  const size = bookedSize(stage);
  candidate.free = subtractResources(candidate.free, size);
  candidate.expected = subtractResources(candidate.expected, size);
  candidate.hasServing ||= stage.spec.latencyObjectiveMs > 0;
  candidate.hasBestEffort ||= stage.spec.bestEffort;
  candidate.booked.set(stage, (candidate.booked.get(stage) ?? 0) + 1);
}

/** Tasks of the stage that run on the worker or are about to. */
function countOn(stage: StageRun, { session, booked }: Candidate): number {
  const placed = stage.tasks.filter((task) =>
    task.phase === TaskPhase.Placed && task.workerId === session.info.id
  );
  return placed.length + (booked.get(stage) ?? 0);
}

/** Notes that what was booked in this round is placed, or taken back. */
export function settleBookings(
  candidates: readonly Candidate[],
  stage: StageRun,
): void {
  candidates.forEach(({ booked }) => booked.delete(stage));
}
