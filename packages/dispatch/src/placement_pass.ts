import type { Update } from "@mustardweir/kernel";
import {
  dominantShare,
  type FleetTeam,
  NO_RESOURCES,
} from "@mustardweir/model";
import { stagePermits } from "@mustardweir/permits";
import { Source } from "@mustardweir/protocol";
import { REPLICA } from "@mustardweir/replica";
import { isSoleOwner } from "@mustardweir/tenure";
import {
  DISPATCH_STATE,
  isOpen,
  isReady,
  isStageDone,
  reservedSize,
  type StageRun,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import { CANDIDATES } from "./candidate_index.ts";
import { type Candidate, clearReservations, isSuspect } from "./candidates.ts";
import { withinCeiling } from "./ceilings.ts";
import {
  endHeldRoom,
  holdRoom,
  mayHoldRoom,
  openHeldRoom,
  releaseUnstartable,
  reviewReservations,
} from "./held_room.ts";
import { InheritedWork } from "./inherited_work.ts";
import { holdWorkers, withinProbation } from "./isolation.ts";
import {
  BestFitRule,
  GangRule,
  type PlacementRule,
} from "./placement_rules.ts";
import {
  holdsPermit,
  listStartable,
  mayRunOnAny,
  permittedCandidates,
  type PlacementContext,
  queryMorePermits,
} from "./permission.ts";
import { mayPreempt, preemptFor } from "./preemption.ts";
import { placeByRack, wakeRackWaits } from "./rack_placement.ts";
import { startTasks } from "./starts.ts";
import { addWaiting, standingOf } from "./waiting.ts";

/** Shortest time between two placement passes, in milliseconds. */
const MIN_PASS_INTERVAL_MS = 8;
/**
 * Share assumed for a team with a share of 0, which puts it after all other
 * teams.
 */
const MIN_SHARE = 1e-6;
/**
 * Most tasks of a team that are placed before the usage of all teams is
 * compared again.
 */
const TASK_BATCH_SIZE = 16;
/**
 * Most tasks that one pass places; the next pass continues, so that renewals
 * and ends are handled in between.
 */
const MAX_TASKS_PER_PASS = 128;
/** Most stages without room that one pass examines in order of rank. */
const MAX_BLOCKED_PER_PASS = 192;
/** Most of these that belong to one team and rank. */
const MAX_BLOCKED_PER_TEAM = 48;
/**
 * Most stages that one pass examines because they were examined longest ago,
 * whatever their rank: each waiting stage gets its turn within seconds.
 */
const MAX_ROTATED_PER_PASS = 64;
/**
 * Longest time for which a stage that waits for a permit query is set aside,
 * in milliseconds.
 */
const MAX_PERMIT_WAIT_MS = 1_000;
/**
 * Time after which a stage is examined again that waits for workers to report
 * or for the members of its gang to end, in milliseconds.
 */
const RECHECK_MS = 40;

/**
 * Age of the copy of the workers at which nothing is started by it, in
 * milliseconds: their capacities may have shrunk meanwhile.
 */
const MAX_WORKERS_AGE_MS = 3_000;

const BEST_FIT = new BestFitRule();
const GANG = new GangRule();

/** What became of a stage that was examined. */
enum Examined {
  /** Tasks were placed; others of the stage still wait. */
  Placed = "placed",
  /** Nothing more can be placed now. */
  Blocked = "blocked",
  /** The stage is no longer in the order at its rank. */
  Left = "left",
}

/**
 * Requests a placement pass and runs it at once unless the last one was too
 * recent.
 */
export function requestPlacementPass(update: Update): void {
  update.write(DISPATCH_STATE).isDirty = true;
  runRequestedPass(update);
}

/** Runs a pass if one was requested and the last one is not too recent. */
export function runRequestedPass(update: Update): void {
  const { lastPassMs } = update.read(DISPATCH_STATE);
  if (update.now - lastPassMs >= MIN_PASS_INTERVAL_MS) {
    runPlacementPass(update);
  }
}

/**
 * Places waiting tasks by rank; within a rank, the team with the lowest usage
 * relative to its share goes first. The cost is bounded by what is placed and a
 * fixed number of stages, however many wait.
 */
export function runPlacementPass(update: Update): void {
  const state = update.write(DISPATCH_STATE);
  // A successor starts jobs that were accepted meanwhile without waiting for
  // workers that this node may have started them on.
  if (
    !state.isActive || !state.isDirty || !isSoleOwner(update) ||
    !areWorkersCurrent(update)
  ) {
    return;
  }
  state.isDirty = false;
  state.lastPassMs = update.now;
  update.write(CANDIDATES).refresh(update);
  wakeRackWaits(update);
  for (const stage of state.waiting.due(update.now)) {
    addWaiting(update, stage);
  }
  new PlacementPass(update).run();
}

/** Returns whether the store replied about the workers recently. */
function areWorkersCurrent(update: Update): boolean {
  const { answeredMs } = update.read(REPLICA).sources[Source.Workers];
  return update.now - answeredMs <= MAX_WORKERS_AGE_MS;
}

/** One pass over the stages that wait. */
class PlacementPass {
  readonly #update: Update;
  readonly #teams: ReadonlyMap<string, FleetTeam>;
  readonly #shares = new Map<string, number>();
  readonly #examined = new Set<StageRun>();
  #inheritedWork: InheritedWork | undefined;
  #blocked = 0;
  #placed = 0;

  constructor(update: Update) {
    this.#update = update;
    this.#teams = new Map(
      update.read(REPLICA).desired?.teams.map((team) => [team.name, team]) ??
        [],
    );
  }

  run(): void {
    reviewReservations(this.#update);
    const { waiting } = this.#update.write(DISPATCH_STATE);
    for (const rank of waiting.ranks) {
      this.#placeRank(rank);
    }
    this.#placeRotated();
    if (this.#isExhausted) {
      this.#update.write(DISPATCH_STATE).isDirty = true;
    }
  }

  get #isExhausted(): boolean {
    return this.#placed >= MAX_TASKS_PER_PASS ||
      this.#affordableStarts(0) === 0;
  }

  #affordableStarts(payloadBytes: number): number {
    return this.#update.write(DISPATCH_STATE).link
      .affordable(payloadBytes, this.#update.now);
  }

  #placeRank(rank: number): void {
    const { waiting } = this.#update.write(DISPATCH_STATE);
    const skipped = new Map(waiting.teamsOf(rank).map((team) => [team, 0]));
    while (
      skipped.size > 0 && this.#blocked < MAX_BLOCKED_PER_PASS &&
      !this.#isExhausted
    ) {
      const team = this.#teamWithLowestUsage(skipped.keys());
      const blocked = skipped.get(team)!;
      const stage = waiting.at({ rank, team }, blocked);
      if (stage === undefined || blocked >= MAX_BLOCKED_PER_TEAM) {
        skipped.delete(team);
      } else if (this.#examine(stage, rank) === Examined.Blocked) {
        skipped.set(team, blocked + 1);
        this.#blocked++;
      }
    }
  }

  /** Examines stages behind those that {@link MAX_BLOCKED_PER_PASS} covers. */
  #placeRotated(): void {
    const { waiting } = this.#update.write(DISPATCH_STATE);
    for (let count = 0; count < MAX_ROTATED_PER_PASS; count++) {
      const stage = waiting.oldestExamined;
      if (
        stage === undefined || this.#examined.has(stage) || this.#isExhausted
      ) {
        return;
      }
      this.#examine(stage, standingOf(this.#update, stage).rank);
    }
  }

  #teamWithLowestUsage(teams: Iterable<string>): string {
    let lowest: string | undefined;
    let lowestShare = Infinity;
    for (const team of teams) {
      const share = this.#shareOf(team);
      // NaN is less than no share; the pass ends only if a team is chosen.
      if (lowest === undefined || share < lowestShare) {
        lowest = team;
        lowestShare = Number.isFinite(share) ? share : Infinity;
      }
    }
    return lowest ?? "";
  }

  #shareOf(team: string): number {
    const known = this.#shares.get(team);
    if (known !== undefined) {
      return known;
    }
    const { used } = this.#update.read(DISPATCH_STATE);
    const { capacity } = this.#update.read(CANDIDATES);
    const share = dominantShare(used.get(team) ?? NO_RESOURCES, capacity) /
      Math.max(this.#teams.get(team)?.share ?? 1, MIN_SHARE);
    this.#shares.set(team, share);
    return share;
  }

  #examine(stage: StageRun, rank: number): Examined {
    const { waiting } = this.#update.write(DISPATCH_STATE);
    this.#examined.add(stage);
    waiting.markExamined(stage);
    if (!isOpen(stage.job) || isStageDone(stage) || !isReady(stage)) {
      waiting.remove(stage);
      return Examined.Left;
    }
    const standing = standingOf(this.#update, stage);
    if (standing.rank !== rank) {
      waiting.add(stage, standing.rank);
      return Examined.Left;
    }
    waiting.add(stage, rank);
    const startable = this.#startableTasks(stage);
    if (startable.length === 0) {
      releaseUnstartable(this.#update, stage);
      this.#setAside(stage);
      return Examined.Left;
    }
    const placed = this.#place(stage, startable, {
      stage,
      rank,
      preempts: mayPreempt(stage, standing.status),
    });
    if (placed > 0) {
      this.#placed += placed;
      this.#shares.delete(stage.job.record.team);
    }
    if (!waiting.has(stage)) {
      return Examined.Left;
    }
    if (placed === startable.length) {
      this.#setAside(stage);
      return Examined.Left;
    }
    return placed >= TASK_BATCH_SIZE || this.#isExhausted
      ? Examined.Placed
      : Examined.Blocked;
  }

  #startableTasks(stage: StageRun): TaskRun[] {
    const { now } = this.#update;
    const startable = stage.tasks.filter((task) =>
      task.phase === TaskPhase.Waiting && task.notBeforeMs <= now &&
      !(task.isInherited && this.#inherited.mayRun(stage.job))
    );
    return stage.spec.gang ? startableMembers(stage, startable) : startable;
  }

  get #inherited(): InheritedWork {
    return this.#inheritedWork ??= new InheritedWork(this.#update);
  }

  /** Sets aside a stage none of whose tasks can start at this time. */
  #setAside(stage: StageRun): void {
    const { now } = this.#update;
    const { waiting } = this.#update.write(DISPATCH_STATE);
    const left = stage.tasks.filter((task) => task.phase === TaskPhase.Waiting);
    if (left.length === 0) {
      waiting.remove(stage);
      return;
    }
    const nextMs = left.reduce(
      (earliest, task) => Math.min(earliest, task.notBeforeMs),
      Infinity,
    );
    waiting.setAside(stage, nextMs > now ? nextMs : now + RECHECK_MS);
  }

  /** Places waiting tasks of the stage; returns the number of tasks placed. */
  #place(
    stage: StageRun,
    startable: readonly TaskRun[],
    asked: Omit<PlacementContext, "candidates" | "isHeldRoomOpen">,
  ): number {
    const update = this.#update;
    const index = update.read(CANDIDATES);
    const { record } = stage.job;
    const { pool } = record.queue;
    const isHeldRoomOpen = openHeldRoom(update, stage, asked.rank);
    if (
      !asked.preempts &&
      !index.mayFit(pool, reservedSize(stage), { isHeldRoomOpen }) &&
      !mayHoldRoom(update, asked)
    ) {
      return 0;
    }
    const isGang = stage.spec.gang;
    const wanted = withinCeiling(update, {
      stage,
      waiting: withinProbation(update, pool, startable),
      team: this.#teams.get(record.team),
      unseenOf: (team) => this.#inherited.usageOf(team),
    });
    if (wanted.length === 0 || (isGang && wanted.length < startable.length)) {
      releaseUnstartable(update, stage);
      return 0;
    }
    const context = {
      ...asked,
      isHeldRoomOpen,
      candidates: index.inPool(pool),
    };
    const withRoom = listStartable(update, context);
    if (!mayRunOnAny(update, context, withRoom)) {
      this.#awaitPermits(context, withRoom, wanted.length);
      return 0;
    }
    const allowed = permittedCandidates(update, context);
    const rule: PlacementRule = isGang ? GANG : BEST_FIT;
    const most = Math.min(
      TASK_BATCH_SIZE,
      this.#affordableStarts(Buffer.byteLength(record.spec.payload)),
    );
    const { placements, waiting, untilMs } = placeByRack(update, rule, {
      context,
      tasks: wanted,
      most: isGang ? wanted.length : most,
      allowed,
    });
    if (placements.length > 0) {
      startTasks(update, stage, placements);
      endHeldRoom(update, stage);
      clearReservations(placements.map(({ candidate }) => candidate), stage);
    }
    if (!isGang) {
      holdWorkers(
        update,
        wanted.filter((task) =>
          task.phase === TaskPhase.Waiting && isSuspect(task)
        ),
        allowed,
      );
    }
    if (placements.length > 0) {
      index.noteReserved(pool);
    }
    const missing = wanted.length - placements.length;
    if (missing > 0) {
      queryMorePermits(update, context, {
        ahead: holdRoom(update, context, missing),
      });
    }
    if (missing > waiting && asked.preempts) {
      preemptFor(update, {
        stage,
        missing: missing - waiting,
        candidates: allowed,
      });
      index.noteReserved(pool);
    }
    // Other tasks of the stage may become startable before the wait is over.
    if (waiting > 0 && waiting === countWaiting(stage)) {
      update.write(DISPATCH_STATE).waiting.setAside(stage, untilMs);
    }
    return placements.length;
  }

  /**
   * Asks for permits for a stage that holds none with room, and holds room for
   * its `missing` tasks. While it has no permits at all, only the reply can
   * change that.
   */
  #awaitPermits(
    context: PlacementContext,
    withRoom: readonly Candidate[],
    missing: number,
  ): void {
    const { stage } = context;
    const ahead = holdRoom(this.#update, context, missing);
    if (stage.job.record.queue.permits === undefined) {
      return;
    }
    queryMorePermits(this.#update, context, { ahead, startable: withRoom });
    if (
      stagePermits(this.#update, stage.name).isQueryPending &&
      !holdsPermit(this.#update, stage)
    ) {
      this.#update.write(DISPATCH_STATE).waiting
        .setAside(stage, this.#update.now + MAX_PERMIT_WAIT_MS);
    }
  }
}

function countWaiting({ tasks }: StageRun): number {
  return tasks.filter(({ phase }) => phase === TaskPhase.Waiting).length;
}

/**
 * Returns the gang members that can start now: all of them, or, if the gang
 * runs, those whose start was refused.
 */
function startableMembers(stage: StageRun, startable: TaskRun[]): TaskRun[] {
  const running = stage.tasks.filter((task) => task.phase === TaskPhase.Placed);
  if (running.length === 0) {
    return startable.length === stage.tasks.length ? startable : [];
  }
  const isGangStopping = running.some((task) => task.isStopping);
  return isGangStopping
    ? []
    : startable.filter((task) => task.attempt === running[0]!.attempt);
}
