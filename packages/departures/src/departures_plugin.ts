import {
  CommandPriority,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import { findTask, stopTask, taskName, TaskPhase } from "@mustardweir/dispatch";
import {
  AttemptEnd,
  count,
  gauge,
  GAUGE_INTERVAL_MS,
  logChange,
  NODE_IDENTITY,
  PROCESS_SUSPENDED,
  Source,
} from "@mustardweir/protocol";
import {
  FOLLOWER_INTERVAL_MS,
  isFollower,
  REPLICA,
  WORKER_CHANGED,
} from "@mustardweir/replica";
import {
  ATTEMPT_ENDED,
  ATTEMPT_VANISHED,
  type PlacedAttempt,
  type Session,
  SESSIONS,
} from "@mustardweir/sessions";
import { isOwner, isSoleOwner, TENURE_GAINED } from "@mustardweir/tenure";
import {
  listRoom,
  listUnits,
  needOf,
  type StoppableUnit,
} from "./departing_work.ts";
import { policyFor } from "./departure_policy.ts";
import {
  type Departure,
  DepartureOutcome,
  DEPARTURES,
  MAX_MOVING,
  MOVE_TIMEOUT_MS,
} from "./departure_state.ts";
import type { FreeRoom } from "./free_room.ts";
import { afterSuspension, nextNotice } from "./notice.ts";
import {
  DepartureAction,
  type DepartureDecision,
  PLAN_INTERVAL_MS,
} from "./plan.ts";

/** Longest time that a stop takes unless the settings tell, in milliseconds. */
const DEFAULT_STOP_MS = 900;
/**
 * Most moves of a task that can't resume from a checkpoint; then it runs on. A
 * worker that announces its departure and withdraws the notice again and again
 * would otherwise have its tasks started over without end.
 */
const MAX_RESTARTING_MOVES = 2;
/**
 * Time after the registration is gone at which a departure is forgotten on a
 * node that doesn't own the domain, in milliseconds: as long as the replica
 * keeps departed workers.
 */
const RETENTION_MS = 15_000;

/** Moves work off workers that have announced their departure. */
export class DeparturesPlugin extends Plugin {
  override readonly name = "departures";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(DEPARTURES, {
        byWorker: new Map(),
        moving: new Map(),
        repliedMs: undefined,
        resumedMs: -Infinity,
      }),
      kernel.registerCommand(
        WORKER_CHANGED,
        ({ workerId }, update) => handleWorkerChange(update, workerId),
        Normal,
      ),
      kernel.registerCommand(
        PROCESS_SUSPENDED,
        ({ forMs }, update) => handleSuspension(update, forMs),
        Normal,
      ),
      kernel.registerCommand(
        TENURE_GAINED,
        (_, update) => handleTenureGained(update),
        Normal,
      ),
      kernel.registerCommand(
        ATTEMPT_ENDED,
        (ended, update) => handleAttemptEnded(update, ended),
        Normal,
      ),
      kernel.registerCommand(
        ATTEMPT_VANISHED,
        ({ workerId }, update) =>
          countOutcome(update, workerId, DepartureOutcome.Lost),
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: PLAN_INTERVAL_MS,
        run: planDepartures,
        isIdle: isFollower,
        idleIntervalMs: FOLLOWER_INTERVAL_MS,
      }),
      kernel.registerPeriodic({
        intervalMs: GAUGE_INTERVAL_MS,
        run: (update) => {
          const { size } = update.read(DEPARTURES).byWorker;
          update.emit(gauge("workers-departing", isOwner(update) ? size : 0));
        },
      }),
    );
  }
}

/**
 * Updates the notice of a worker. Nodes that may become the owner do so too, so
 * that a takeover doesn't restart the countdown.
 */
function handleWorkerChange(update: Update, workerId: string): void {
  const { byWorker, repliedMs } = update.write(DEPARTURES);
  const known = byWorker.get(workerId);
  const info = update.read(REPLICA).workers.get(workerId);
  if (info === undefined) {
    if (known !== undefined) {
      known.unregisteredMs = update.now;
    }
    return;
  }
  const notice = nextNotice(known?.notice, info, {
    now: update.now,
    repliedMs,
  });
  if (notice === undefined) {
    if (known !== undefined) {
      byWorker.delete(workerId);
      reportEnd(update, workerId, {
        departure: known,
        isWithdrawn: known.notice.incarnation === info.incarnation,
      });
    }
  } else if (known?.notice.incarnation === notice.incarnation) {
    known.notice = notice;
    known.unregisteredMs = undefined;
  } else {
    byWorker.set(workerId, {
      notice,
      isPlanned: false,
      unregisteredMs: undefined,
      outcomes: {
        [DepartureOutcome.Finished]: 0,
        [DepartureOutcome.Moved]: 0,
        [DepartureOutcome.Lost]: 0,
      },
    });
  }
}

/** Shortens all countdowns; what is read next may be as old as the suspension. */
function handleSuspension(update: Update, forMs: number): void {
  const state = update.write(DEPARTURES);
  state.repliedMs = undefined;
  state.resumedMs = update.now;
  for (const departure of state.byWorker.values()) {
    departure.notice = afterSuspension(departure.notice, forMs);
  }
}

/** Forgets what an earlier tenure of this node planned; notices stay. */
function handleTenureGained(update: Update): void {
  const { byWorker, moving } = update.write(DEPARTURES);
  moving.clear();
  for (const departure of byWorker.values()) {
    departure.isPlanned = false;
  }
}

/** Plans all departures anew: progress, room and the time left change. */
function planDepartures(update: Update): void {
  const state = update.write(DEPARTURES);
  const { isListed, answeredMs } = update.read(REPLICA).sources[Source.Workers];
  state.repliedMs = isListed && answeredMs > state.resumedMs
    ? answeredMs
    : undefined;
  if (state.byWorker.size === 0) {
    return;
  }
  removeOver(update);
  // A node that may have been replaced must not order anything.
  if (!isSoleOwner(update)) {
    return;
  }
  removeArrived(update);
  const rooms = new Map<string, FreeRoom>();
  for (const [workerId, departure] of state.byWorker) {
    const session = update.read(SESSIONS).byWorker.get(workerId);
    if (session?.isReconciled) {
      planWorker(update, { departure, session, rooms });
    }
  }
}

function planWorker(
  update: Update,
  { departure, session, rooms }: {
    readonly departure: Departure;
    readonly session: Readonly<Session>;
    /** Room that is left in each pool; updated. */
    readonly rooms: Map<string, FreeRoom>;
  },
): void {
  const units = listUnits(update, session).filter(mayMove);
  if (units.length === 0 && departure.isPlanned) {
    return;
  }
  const { pool } = session.info;
  const { maxStopMs = DEFAULT_STOP_MS } = update.service(NODE_IDENTITY);
  const plan = policyFor(departure.notice, session.incarnation).plan({
    now: update.now,
    stopMs: maxStopMs,
    units,
    room: rooms.get(pool) ?? listRoom(update, pool),
  });
  rooms.set(pool, plan.room);
  const byName = new Map(units.map((unit) => [unit.name, unit]));
  const moved = plan.decisions
    .filter(({ action }) => action === DepartureAction.Move)
    .map(({ unit }) => byName.get(unit.name)!);
  moved.forEach((unit) => moveUnit(update, unit, pool));
  if (!departure.isPlanned || moved.length > 0) {
    logPlan(update, { departure, session, decisions: plan.decisions });
    departure.isPlanned = true;
  }
}

function mayMove({ checkpoints, isLasting, members }: StoppableUnit): boolean {
  return checkpoints || isLasting ||
    members.every(({ moves }) => moves < MAX_RESTARTING_MOVES);
}

/** Stops all tasks of the unit; they wait again once their ends are listed. */
function moveUnit(
  update: Update,
  { members }: StoppableUnit,
  pool: string,
): void {
  const { byWorker, moving } = update.write(DEPARTURES);
  for (const task of members) {
    if (moving.size < MAX_MOVING) {
      moving.set(taskName(task), {
        attempt: task.attempt,
        pool,
        sinceMs: update.now,
        need: byWorker.has(task.workerId) ? needOf(task.stage) : undefined,
      });
    }
    task.moves++;
    stopTask(update, task);
  }
}

function logPlan(
  update: Update,
  { departure, session, decisions }: {
    readonly departure: Departure;
    readonly session: Readonly<Session>;
    readonly decisions: readonly DepartureDecision[];
  },
): void {
  const { notice } = departure;
  const namesOf = (wanted: DepartureAction) =>
    decisions.filter(({ action }) => action === wanted)
      .map(({ unit }) => unit.name);
  update.emit(logChange("Departure planned", {
    worker: session.info.id,
    leavesInMs: Math.round(notice.departsMs - update.now),
    isDated: notice.isDated,
    finish: namesOf(DepartureAction.Finish).length,
    wait: namesOf(DepartureAction.Wait).length,
    runOn: namesOf(DepartureAction.RunOn).length,
    moved: namesOf(DepartureAction.Move).join(" "),
  }));
}

/** Forgets moves whose task runs again, has ended, or takes too long. */
function removeArrived(update: Update): void {
  const { moving } = update.write(DEPARTURES);
  for (const [name, { attempt, sinceMs }] of moving) {
    const task = findTask(update, name);
    const isStopping = task?.phase === TaskPhase.Placed &&
      task.attempt === attempt;
    const isOnWay = isStopping || task?.phase === TaskPhase.Waiting;
    if (!isOnWay || update.now - sinceMs > MOVE_TIMEOUT_MS) {
      moving.delete(name);
    }
  }
}

/** Forgets workers that are gone and on which nothing is left. */
function removeOver(update: Update): void {
  const { byWorker } = update.write(DEPARTURES);
  const { isActive, byWorker: sessions } = update.read(SESSIONS);
  for (const [workerId, departure] of byWorker) {
    const { unregisteredMs } = departure;
    if (unregisteredMs === undefined) {
      continue;
    }
    const isOver = isActive
      ? (sessions.get(workerId)?.attempts.size ?? 0) === 0
      : update.now - unregisteredMs > RETENTION_MS;
    if (isOver) {
      byWorker.delete(workerId);
      reportEnd(update, workerId, { departure, isWithdrawn: false });
    }
  }
}

function reportEnd(
  update: Update,
  workerId: string,
  { departure: { outcomes }, isWithdrawn }: {
    readonly departure: Departure;
    readonly isWithdrawn: boolean;
  },
): void {
  if (!isOwner(update)) {
    return;
  }
  const fields = { worker: workerId, ...outcomes };
  update.emit(
    isWithdrawn
      ? logChange("Departure withdrawn", fields)
      : logChange("Departure over", fields),
  );
}

function handleAttemptEnded(
  update: Update,
  { workerId, task, attempt, end, isNew }: PlacedAttempt & {
    readonly end: AttemptEnd;
    readonly isNew: boolean;
  },
): void {
  if (!isNew || !update.read(DEPARTURES).byWorker.has(workerId)) {
    return;
  }
  const isMoved = update.read(DEPARTURES).moving.get(task)?.attempt === attempt;
  if (end === AttemptEnd.Done) {
    countOutcome(update, workerId, DepartureOutcome.Finished);
  } else if (end === AttemptEnd.Stopped && isMoved) {
    countOutcome(update, workerId, DepartureOutcome.Moved);
  } else if (end === AttemptEnd.Lapsed || end === AttemptEnd.Broken) {
    countOutcome(update, workerId, DepartureOutcome.Lost);
  }
}

function countOutcome(
  update: Update,
  workerId: string,
  outcome: DepartureOutcome,
): void {
  const departure = update.write(DEPARTURES).byWorker.get(workerId);
  if (departure !== undefined) {
    departure.outcomes[outcome]++;
    update.emit(count(`departures-${outcome}`));
  }
}

registerPlugin({
  name: "departures",
  roles: [Role.Combined],
  create: () => new DeparturesPlugin(),
});
