import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  dominantShare,
  type FleetTeam,
  NO_RESOURCES,
  type Resources,
  StagedJobState,
} from "@mustardweir/model";
import { logChange } from "@mustardweir/protocol";
import { askPermits, heldPermit, stagePermits } from "@mustardweir/permits";
import { REPLICA, storeNow, unixNow } from "@mustardweir/replica";
import { SESSIONS, startAttempt } from "@mustardweir/sessions";
import {
  BOOK,
  bookedSize,
  firstAttempt,
  isOpen,
  isReady,
  isStageDone,
  type JobRun,
  type StageRun,
  takeRoom,
  taskName,
  TaskPhase,
  type TaskRun,
} from "./book.ts";
import {
  type Candidate,
  couldHold,
  hasRoom,
  listCandidates,
  settleBookings,
  suits,
} from "./candidates.ts";
import {
  BestFitRule,
  type Choice,
  GangRule,
  type PlacementRule,
} from "./choice.ts";
import { WORKER_HEALTH } from "./health.ts";
import { canMakeRoom, makeRoom, mayPreempt } from "./preemption.ts";
import { writeProgress } from "./progress.ts";
import { ObjectiveOrder, standingOf, type TurnOrder } from "./turn_order.ts";

/** Shortest time between two rounds of placement, in milliseconds. */
const PUMP_GAP_MS = 8;
/** Most workers named in one question, below the policy's limit of 100. */
const MAX_ASKED = 40;
/**
 * Workers of a known good verdict that are asked again together; most of a
 * question's time goes before the first one.
 */
const MAX_REASKED = 12;
/** Share of a team that has none; it comes after all others. */
const MIN_SHARE = 1e-6;
/** Tasks that a team may start in one turn before others get theirs. */
const TASKS_PER_TURN = 16;

const BEST_FIT = new BestFitRule();
const GANG = new GangRule();
const ORDER: TurnOrder = new ObjectiveOrder();

/** A stage with tasks that wait for a worker. */
interface Turn {
  readonly stage: StageRun;
  readonly waiting: TaskRun[];
  readonly team: string;
  /** Turns of a lower rank come first. */
  readonly rank: number;
  /** Less urgent tasks may be stopped for it. */
  readonly preempts: boolean;
}

/** Notes that there may be something to place, and places it soon. */
export function requestPump(update: Update): void {
  const book = update.write(BOOK);
  book.isDirty = true;
  if (update.now - book.lastPumpMs >= PUMP_GAP_MS) {
    pump(update);
  }
}

/** Places waiting tasks: by rank, then the team with least. */
export function pump(update: Update): void {
  const book = update.write(BOOK);
  if (!book.isOpen || !book.isDirty) {
    return;
  }
  book.isDirty = false;
  book.lastPumpMs = update.now;
  const byPool = listCandidates(update);
  const total = totalCapacity(byPool);
  const turns = listTurns(update);
  const teams = new Map(
    update.read(REPLICA).desired?.teams.map((team) => [team.name, team]) ?? [],
  );
  const share = (team: string) =>
    dominantShare(book.used.get(team) ?? NO_RESOURCES, total) /
    Math.max(teams.get(team)?.share ?? 1, MIN_SHARE);
  const ranks = [...new Set(turns.map((turn) => turn.rank))]
    .sort((a, b) => a - b);
  for (const rank of ranks) {
    const byTeam = groupByTeam(turns.filter((turn) => turn.rank === rank));
    while (byTeam.size > 0) {
      const team = [...byTeam.keys()].reduce((a, b) =>
        share(b) < share(a) ? b : a
      );
      const waiting = byTeam.get(team)!;
      const [next] = waiting;
      const placed = placeTurn(update, next!, {
        candidates: byPool.get(next!.stage.job.record.queue.pool) ?? [],
        team: teams.get(team),
      });
      if (placed < TASKS_PER_TURN) {
        waiting.shift();
      }
      if (waiting.length === 0) {
        byTeam.delete(team);
      }
    }
  }
}

/** The turns of each team, in their order. */
function groupByTeam(turns: readonly Turn[]): Map<string, Turn[]> {
  const byTeam = new Map<string, Turn[]>();
  for (const turn of turns) {
    const known = byTeam.get(turn.team);
    if (known === undefined) {
      byTeam.set(turn.team, [turn]);
    } else {
      known.push(turn);
    }
  }
  return byTeam;
}

function listTurns(update: Update): Turn[] {
  const inherited = inheritedPools(update);
  const clock = { storeMs: storeNow(update), unixMs: unixNow(update) };
  const turns: Turn[] = [];
  for (const job of update.write(BOOK).jobs.values()) {
    if (!isOpen(job)) {
      continue;
    }
    const { pool } = job.record.queue;
    const isHeld = inherited.has(pool) || inherited.has("");
    for (const stage of job.stages.values()) {
      if (isStageDone(stage) || !isReady(stage)) {
        continue;
      }
      const able = stage.tasks.filter((task) =>
        task.phase === TaskPhase.Waiting && task.notBeforeMs <= update.now &&
        !(task.isInherited && isHeld)
      );
      const waiting = stage.spec.gang ? gangMembers(stage, able) : able;
      if (waiting.length > 0) {
        turns.push({
          stage,
          waiting,
          team: job.record.team,
          rank: ORDER.rank(stage, clock),
          preempts: mayPreempt(stage, standingOf(stage, clock)),
        });
      }
    }
  }
  return turns.sort((a, b) =>
    a.stage.job.record.acceptedMs - b.stage.job.record.acceptedMs
  );
}

/**
 * The members that may start now: all of them, or those of a running gang
 * whose start was not taken.
 */
function gangMembers(stage: StageRun, able: TaskRun[]): TaskRun[] {
  const running = stage.tasks.filter((task) => task.phase === TaskPhase.Placed);
  if (running.length === 0) {
    return able.length === stage.tasks.length ? able : [];
  }
  const isBreaking = running.some((task) => task.isStopping);
  return isBreaking
    ? []
    : able.filter((task) => task.attempt === running[0]!.attempt);
}

/** Pools where a predecessor may have left tasks that nobody has seen yet. */
function inheritedPools(update: Update): Set<string> {
  const pools = new Set<string>();
  for (const session of update.read(SESSIONS).byWorker.values()) {
    if (session.isInherited) {
      pools.add(session.info.pool);
    }
  }
  return pools;
}

/** Places tasks of the turn; returns how many. */
function placeTurn(
  update: Update,
  { stage, waiting, rank, preempts }: Turn,
  { candidates, team }: {
    readonly candidates: readonly Candidate[];
    readonly team: FleetTeam | undefined;
  },
): number {
  const offer = { stage, rank, preempts, candidates };
  if (!candidates.some((candidate) => mayStart(candidate, offer))) {
    return 0;
  }
  const isGang = stage.spec.gang;
  const wanted = withinCeiling(update, { stage, waiting, team });
  if (wanted.length === 0 || (isGang && wanted.length < waiting.length)) {
    return 0;
  }
  const allowed = permitted(update, offer);
  if (allowed.length === 0) {
    return 0;
  }
  const rule: PlacementRule = isGang ? GANG : BEST_FIT;
  const choices = rule.choose(
    stage,
    isGang ? wanted : wanted.slice(0, TASKS_PER_TURN),
    allowed,
  );
  if (choices.length > 0) {
    start(update, stage, choices);
    settleBookings(allowed, stage);
    waiting.splice(
      0,
      waiting.length,
      ...waiting.filter((task) => task.phase === TaskPhase.Waiting),
    );
  }
  if (choices.length < wanted.length) {
    askForMore(update, offer);
    if (preempts) {
      makeRoom(update, {
        stage,
        missing: wanted.length - choices.length,
        candidates: allowed,
      });
    }
  }
  return choices.length;
}

/** A stage that waits, and the workers of its pool. */
interface Offer {
  readonly stage: StageRun;
  readonly rank: number;
  readonly preempts: boolean;
  readonly candidates: readonly Candidate[];
}

/** The candidates that may run the stage; asks when none is known. */
function permitted(update: Update, offer: Offer): readonly Candidate[] {
  const { stage, candidates } = offer;
  if (stage.job.record.queue.permits === undefined) {
    return candidates;
  }
  const held = candidates.filter(({ session }) =>
    heldPermit(update, stage.name, session.info.id) !== undefined
  );
  if (!held.some((candidate) => mayStart(candidate, offer))) {
    askForMore(update, offer);
  }
  return held;
}

/** Asks for permits of workers with room that have none. */
function askForMore(update: Update, offer: Offer): void {
  const { stage, rank, candidates } = offer;
  const { permits: policy } = stage.job.record.queue;
  if (policy === undefined) {
    return;
  }
  const known = stagePermits(update, stage.name);
  if (known.isAsked) {
    return;
  }
  const without = candidates.filter((candidate) =>
    suits(candidate, stage) && couldHold(stage, candidate) &&
    heldPermit(update, stage.name, candidate.session.info.id) === undefined
  );
  const unjudged = without.filter(({ session }) =>
    !known.judged.has(session.info.id)
  );
  const expired = without.filter(({ session }) =>
    known.good.has(session.info.id)
  );
  // A permit holds for a short time only, so nothing is asked while no task
  // could start. Room on the other workers may come free while it holds, and
  // verdicts never change.
  const isUseful = [...expired, ...unjudged].some((candidate) =>
    mayStart(candidate, offer)
  );
  const asked = isUseful
    ? [
      ...expired.sort(byRoom).slice(0, MAX_REASKED),
      ...unjudged.sort(byRoom),
    ].slice(0, MAX_ASKED)
    : [];
  askPermits(update, {
    stage: stage.name,
    workers: asked.map(({ session }) => session.info.id),
    policy,
    rank,
  });
}

/** True when a task of the stage has room, or room can be made for it. */
function mayStart(candidate: Candidate, { stage, preempts }: Offer): boolean {
  return hasRoom(candidate, stage) ||
    (preempts && canMakeRoom(candidate, stage));
}

function byRoom(a: Candidate, b: Candidate): number {
  return b.free.cpuMillis - a.free.cpuMillis;
}

function withinCeiling(
  update: Update,
  { stage, waiting, team }: {
    readonly stage: StageRun;
    readonly waiting: readonly TaskRun[];
    readonly team: FleetTeam | undefined;
  },
): readonly TaskRun[] {
  if (team === undefined) {
    return waiting;
  }
  const used = update.read(BOOK).used.get(team.name) ?? NO_RESOURCES;
  let sum = used;
  for (let index = 0; index < waiting.length; index++) {
    sum = addResources(sum, stage.spec.size);
    if (exceeds(sum, team.ceiling)) {
      return waiting.slice(0, index);
    }
  }
  return waiting;
}

function exceeds(used: Resources, ceiling: Resources): boolean {
  return isOver(used.cpuMillis, ceiling.cpuMillis) ||
    isOver(used.memoryMb, ceiling.memoryMb) ||
    isOver(used.accelerators, ceiling.accelerators);
}

function isOver(used: number, ceiling: number): boolean {
  return ceiling > 0 && used > ceiling;
}

function start(
  update: Update,
  stage: StageRun,
  choices: readonly Choice[],
): void {
  const book = update.write(BOOK);
  const gang = stage.spec.gang ? gangStart(stage, book.epoch) : undefined;
  for (const { task, candidate } of choices) {
    const workerId = candidate.session.info.id;
    task.attempt = gang?.attempt ??
      Math.max(task.attempt + 1, firstAttempt(book.epoch));
    task.phase = TaskPhase.Placed;
    task.workerId = workerId;
    task.placedMs = update.now;
    task.isStopping = false;
    task.isRunning = false;
    task.percent = 0;
    takeRoom(book, task);
    update.write(WORKER_HEALTH).started(workerId, update.now);
    const permit = heldPermit(update, stage.name, workerId);
    startAttempt(update, {
      workerId,
      task: taskName(task),
      attempt: task.attempt,
      size: bookedSize(stage),
      payload: stage.job.record.spec.payload,
      checkpoint: gang?.checkpoint ?? task.checkpoint,
      ...(permit === undefined ? {} : { permit }),
    });
  }
  markRunning(update, stage.job);
}

/** All members start under one number, from one checkpoint. */
function gangStart(stage: StageRun, epoch: number) {
  const placed = stage.tasks.find((task) => task.phase === TaskPhase.Placed);
  const highest = Math.max(...stage.tasks.map((task) => task.attempt));
  const checkpoint = stage.tasks
    .map((task) => task.checkpoint)
    .reduce((a, b) => b > a ? b : a, "");
  for (const task of stage.tasks) {
    task.checkpoint = checkpoint;
  }
  return {
    attempt: placed?.attempt ?? Math.max(highest + 1, firstAttempt(epoch)),
    checkpoint,
  };
}

function markRunning(update: Update, job: JobRun): void {
  if (job.state === StagedJobState.Pending) {
    job.state = StagedJobState.Running;
    writeProgress(update, job);
    update.emit(logChange("Job started", {
      job: job.jobId,
      queue: job.record.queue.name,
      team: job.record.team,
    }));
  }
}

function totalCapacity(byPool: ReadonlyMap<string, Candidate[]>): Resources {
  return [...byPool.values()].flat()
    .map(({ session }) => session.info.capacity)
    .reduce(addResources, NO_RESOURCES);
}
