import type { Update } from "@mustardweir/kernel";
import { WorkerState } from "@mustardweir/model";
import { stagePermits } from "@mustardweir/permits";
import { count, logChange } from "@mustardweir/protocol";
import {
  type AheadQuery,
  fulfillReservation,
  hasTooFewGood,
  isSmaller,
  isWide,
  permitsToRenew,
  ReleaseCause,
  releaseRoom,
  type Reservation,
  RESERVATIONS,
  reserveRoom,
  updateExpectation,
  type WorkerRoom,
} from "@mustardweir/reservations";
import { expectedRun } from "@mustardweir/run-times";
import { SESSIONS } from "@mustardweir/sessions";
import { CANDIDATES } from "./candidate_index.ts";
import {
  type Candidate,
  countTasksOn,
  fitsWhenEmpty,
  hasRequiredLabel,
  isSuspect,
} from "./candidates.ts";
import {
  DISPATCH_STATE,
  findStage,
  findTask,
  isOpen,
  isStageDone,
  reservedSize,
  type StageRun,
  TaskPhase,
} from "./dispatch_state.ts";
import { stopTask } from "./progress.ts";
import { findHold, listRunningWork } from "./running_work.ts";
import { priorityOfRank } from "./turn_order.ts";
import { standingOf } from "./waiting.ts";

/** A stage that is being placed, its rank, and the workers of its pool. */
interface Waiting {
  readonly stage: StageRun;
  readonly rank: number;
  readonly candidates: readonly Candidate[];
}

/**
 * Gives up reservations that no longer hold, and computes anew when the others
 * are expected to be fulfilled.
 */
export function reviewReservations(update: Update): void {
  for (const reservation of [...update.read(RESERVATIONS).active]) {
    const cause = findReleaseCause(update, reservation);
    if (cause !== undefined) {
      releaseRoom(update, reservation, cause);
      removeHolds(update, reservation);
      continue;
    }
    updateExpectation(update, reservation, () => {
      const index = update.read(CANDIDATES);
      return [...reservation.workers.keys()].flatMap((workerId) => {
        const candidate = index.find(workerId);
        return candidate === undefined ? [] : [roomOf(update, candidate)];
      });
    });
  }
}

/**
 * Opens the held room that the stage may use, and closes the rest to it. Returns
 * whether any of its pool is open; true if none is held at all.
 */
export function openHeldRoom(
  update: Update,
  stage: StageRun,
  rank: number,
): boolean {
  const { active } = update.read(RESERVATIONS);
  if (active.length === 0) {
    return true;
  }
  const { spec, job: { record: { queue } } } = stage;
  const { estimateMs } = spec;
  return update.write(RESERVATIONS).openFor(queue.pool, {
    name: stage.name,
    rank,
    upperMs: spec.lasting
      ? Infinity
      : expectedRun(update, { queue: queue.name, estimateMs }).upperMs,
  }, update.now);
}

/**
 * Returns whether room is held for the stage or may be now, or the policy is to
 * judge workers for it ahead of that.
 */
export function mayHoldRoom(
  update: Update,
  { stage, rank }: Pick<Waiting, "stage" | "rank">,
): boolean {
  const book = update.read(RESERVATIONS);
  const { name, job: { record: { queue: { pool } } } } = stage;
  return book.find(name) !== undefined ||
    (book.policy.holds && callsForRoom(update, stage, rank) &&
      (book.mayReserve({ name, pool, rank }, update.now) ||
        lacksVerdicts(update, stage)));
}

/** Returns whether the stage has its turn and is a gang or wide. */
function callsForRoom(
  update: Update,
  { spec, job: { record: { queue: { pool } } } }: StageRun,
  rank: number,
): boolean {
  return priorityOfRank(rank) !== undefined && !spec.bestEffort &&
    (spec.gang ||
      isWide(spec.size, update.read(CANDIDATES).largestIn(pool)));
}

/**
 * Returns whether the policy allows too few workers for the stage so far, so
 * that the verdicts are there when it gets a reservation: a query for a wide
 * stage takes longer than most of its tasks wait for room.
 */
function lacksVerdicts(update: Update, stage: StageRun): boolean {
  const { spec, job: { record: { queue } } } = stage;
  if (queue.permits === undefined) {
    return false;
  }
  const { good, judged, isQueryPending } = stagePermits(update, stage.name);
  const book = update.write(RESERVATIONS);
  if (
    isQueryPending || !hasTooFewGood(good.size, spec.gang ? spec.tasks : 1) ||
    !book.mayJudge(stage.name, update.now)
  ) {
    return false;
  }
  const isAnyLeft = update.read(CANDIDATES).inPool(queue.pool)
    .some((candidate) =>
      !judged.has(candidate.session.info.id) &&
      hasRequiredLabel(candidate, stage) && fitsWhenEmpty(stage, candidate)
    );
  if (!isAnyLeft) {
    book.noteJudged(stage.name, update.now);
  }
  return isAnyLeft;
}

/**
 * Holds room for a stage with `missing` tasks that found none, if it calls for
 * that. Returns what to query the policy about for it ahead of its start.
 */
export function holdRoom(
  update: Update,
  waiting: Waiting,
  missing: number,
): AheadQuery | undefined {
  if (!mayHoldRoom(update, waiting)) {
    return undefined;
  }
  const { stage } = waiting;
  const tasks = stage.spec.gang ? missing : 1;
  releaseOutsized(update, stage, tasks);
  const reservation = update.read(RESERVATIONS).find(stage.name) ??
    reserveFor(update, waiting, tasks);
  const policy = stage.job.record.queue.permits;
  if (policy === undefined) {
    return undefined;
  }
  const renewed = reservation === undefined ? [] : permitsToRenew(reservation, {
    policy,
    validUntilMs: permitEnds(update, stage),
    now: update.now,
  });
  const judgesMore = renewed.length === 0 && lacksVerdicts(update, stage);
  if (judgesMore) {
    update.write(RESERVATIONS).noteJudged(stage.name, update.now);
  }
  return { isReserved: reservation !== undefined, renewed, judgesMore };
}

/** Returns a function that returns when a worker's permit ends, in ms. */
function permitEnds(
  update: Update,
  { name }: StageRun,
): (workerId: string) => number | undefined {
  return (workerId) =>
    stagePermits(update, name).good.get(workerId)?.validUntilMs;
}

/** Gives up the reservation of a stage whose tasks may not start now. */
export function releaseUnstartable(update: Update, stage: StageRun): void {
  const reservation = update.read(RESERVATIONS).find(stage.name);
  if (reservation !== undefined) {
    releaseRoom(update, reservation, ReleaseCause.NotStartable);
    removeHolds(update, reservation);
  }
}

/**
 * Gives up a reservation for fewer tasks than are missing: it may have been made
 * for one member of a gang that has been stopped since.
 */
function releaseOutsized(
  update: Update,
  stage: StageRun,
  tasks: number,
): void {
  const reservation = update.read(RESERVATIONS).find(stage.name);
  if (reservation !== undefined && reservation.stage.tasks < tasks) {
    releaseUnstartable(update, stage);
  }
}

/** Ends the reservation of a stage whose tasks have been started. */
export function endHeldRoom(update: Update, stage: StageRun): void {
  const reservation = update.read(RESERVATIONS).find(stage.name);
  if (reservation !== undefined) {
    fulfillReservation(update, reservation);
    removeHolds(update, reservation);
  }
}

function removeHolds(update: Update, { workers }: Reservation): void {
  const index = update.write(CANDIDATES);
  for (const workerId of workers.keys()) {
    index.hold(workerId, undefined);
  }
}

function reserveFor(
  update: Update,
  { stage, rank, candidates }: Waiting,
  tasks: number,
): Reservation | undefined {
  const { name, spec, job: { record: { queue } } } = stage;
  const book = update.read(RESERVATIONS);
  const { pool } = queue;
  // Suspects start alone, which a hold can't promise.
  if (
    !book.mayReserve({ name, pool, rank }, update.now) ||
    stage.tasks.some(isSuspect)
  ) {
    return undefined;
  }
  const reserved = reserveRoom(update, {
    name,
    pool,
    rank,
    priority: queue.priority,
    size: reservedSize(stage),
    tasks,
    sameRack: spec.sameRack,
    maxPerWorker: spec.maxPerWorker,
  }, {
    poolWorkers: candidates.length,
    hasSmallerWork: () => hasSmallerWork(update, stage, candidates),
    policy: queue.permits,
    validUntilMs: permitEnds(update, stage),
    roomsFor: (replaced) =>
      candidates.filter((candidate) => {
        const holder = book.holderOf(candidate.session.info.id);
        return (holder === undefined || holder === replaced) &&
          isAllowed(update, stage, candidate);
      }).map((candidate) => roomOf(update, candidate)),
  });
  if (reserved === undefined) {
    return undefined;
  }
  const { reservation, replaced, stops } = reserved;
  if (replaced !== undefined) {
    removeHolds(update, replaced);
  }
  const index = update.write(CANDIDATES);
  for (const workerId of reservation.workers.keys()) {
    const candidate = index.find(workerId);
    index.hold(workerId, candidate && findHold(update, candidate.session));
  }
  preemptFor(update, stage, stops);
  return reservation;
}

/**
 * Returns whether work that is smaller than the stage's tasks runs on the workers
 * or waits in the order of their pool.
 */
function hasSmallerWork(
  update: Update,
  stage: StageRun,
  candidates: readonly Candidate[],
): boolean {
  const { pool } = stage.job.record.queue;
  const own = {
    size: reservedSize(stage),
    capacity: update.read(CANDIDATES).largestIn(pool),
  };
  for (const { session } of candidates) {
    for (const { size } of session.attempts.values()) {
      if (isSmaller(size, own)) {
        return true;
      }
    }
  }
  for (
    const { stage: other } of update.read(DISPATCH_STATE).waiting.inOrder()
  ) {
    if (
      other.job.record.queue.pool === pool &&
      isSmaller(reservedSize(other), own)
    ) {
      return true;
    }
  }
  return false;
}

/** Returns whether the stage may run on the worker once there is room. */
function isAllowed(
  update: Update,
  stage: StageRun,
  candidate: Candidate,
): boolean {
  const { spec, job: { record: { queue } } } = stage;
  return hasRequiredLabel(candidate, stage) &&
    fitsWhenEmpty(stage, candidate) && candidate.probationOf === undefined &&
    (spec.latencyObjectiveMs === 0 || !candidate.hasBestEffortTask) &&
    (spec.maxPerWorker === 0 ||
      countTasksOn(stage, candidate) < spec.maxPerWorker) &&
    (queue.permits === undefined ||
      stagePermits(update, stage.name).good.has(candidate.session.info.id));
}

function roomOf(update: Update, candidate: Candidate): WorkerRoom {
  const { session, free, slowness } = candidate;
  const { id, rack } = session.info;
  const runs = listRunningWork(update, session);
  return { id, rack, free, slowness, runs };
}

/** Stops the named tasks, which resume from checkpoints. */
function preemptFor(
  update: Update,
  stage: StageRun,
  names: readonly string[],
): void {
  if (names.length === 0) {
    return;
  }
  const index = update.read(CANDIDATES);
  for (const name of names) {
    const victim = findTask(update, name);
    if (victim?.phase !== TaskPhase.Placed || victim.isStopping) {
      continue;
    }
    victim.preemptions++;
    stopTask(update, victim);
    update.emit(count("preemptions"));
    const victims = index.find(victim.workerId)?.victims ?? [];
    const position = victims.indexOf(victim);
    if (position >= 0) {
      victims.splice(position, 1);
    }
  }
  update.emit(logChange("Tasks stopped for held room", {
    stage: stage.name,
    stopped: names.join(" "),
  }));
}

function findReleaseCause(
  update: Update,
  reservation: Reservation,
): ReleaseCause | undefined {
  const { stage: { name, pool, rank }, workers, deadlineMs } = reservation;
  const stage = findStage(update, name);
  if (stage === undefined || !isOpen(stage.job) || isStageDone(stage)) {
    return ReleaseCause.StageEnded;
  }
  if (standingOf(update, stage).rank !== rank) {
    return ReleaseCause.RankChanged;
  }
  if (update.now > deadlineMs) {
    return ReleaseCause.Expired;
  }
  const isJudged = stage.job.record.queue.permits !== undefined;
  for (const workerId of workers.keys()) {
    const candidate = update.read(CANDIDATES).find(workerId);
    if (candidate === undefined) {
      return workerCause(update, workerId);
    }
    if (candidate.session.info.pool !== pool) {
      return ReleaseCause.WorkerLeft;
    }
    if (isJudged && !stagePermits(update, name).good.has(workerId)) {
      return ReleaseCause.PermitRefused;
    }
  }
  return undefined;
}

/** Returns why a worker gets no tasks. */
function workerCause(update: Update, workerId: string): ReleaseCause {
  const session = update.read(SESSIONS).byWorker.get(workerId);
  if (session === undefined || !session.isRegistered) {
    return ReleaseCause.WorkerLeft;
  }
  if (session.info.state === WorkerState.Draining) {
    return ReleaseCause.WorkerDraining;
  }
  return session.missed > 0
    ? ReleaseCause.WorkerSilent
    : ReleaseCause.WorkerUnusable;
}
