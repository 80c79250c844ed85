import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  dominantShare,
  type FleetTeam,
  NO_RESOURCES,
  type Resources,
} from "@mustardweir/model";
import { REPLICA, storeNow, unixNow } from "@mustardweir/replica";
import { SESSIONS } from "@mustardweir/sessions";
import {
  BOOK,
  isOpen,
  isReady,
  isStageDone,
  type StageRun,
  TaskPhase,
  type TaskRun,
} from "./book.ts";
import {
  type Candidate,
  listCandidates,
  settleBookings,
} from "./candidates.ts";
import { withinCeiling } from "./ceilings.ts";
import { BestFitRule, GangRule, type PlacementRule } from "./choice.ts";
import { askForMore, mayStart, permitted } from "./permission.ts";
import { makeRoom, mayPreempt } from "./preemption.ts";
import { start } from "./starts.ts";
import { ObjectiveOrder, standingOf, type TurnOrder } from "./turn_order.ts";

/** Shortest time between two rounds of placement, in milliseconds. */
const PUMP_GAP_MS = 8;
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
        const standing = standingOf(stage, clock);
        turns.push({
          stage,
          waiting,
          team: job.record.team,
          rank: ORDER.rank(stage, standing),
          preempts: mayPreempt(stage, standing),
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

function totalCapacity(byPool: ReadonlyMap<string, Candidate[]>): Resources {
  return [...byPool.values()].flat()
    .map(({ session }) => session.info.capacity)
    .reduce(addResources, NO_RESOURCES);
}
