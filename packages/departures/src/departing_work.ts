import type { Update } from "@mustardweir/kernel";
import {
  CANDIDATES,
  findTask,
  isOpen,
  reservedSize,
  type StageRun,
  taskName,
  TaskPhase,
  type TaskRun,
  WORKER_HEALTH,
} from "@mustardweir/dispatch";
import { WorkerState } from "@mustardweir/model";
import { expectedRun } from "@mustardweir/run-times";
import {
  attemptKey,
  AttemptPhase,
  type Session,
  SESSIONS,
} from "@mustardweir/sessions";
import { DEPARTURES } from "./departure_state.ts";
import { FreeRoom, type RoomNeed } from "./free_room.ts";
import type { DepartingUnit } from "./plan.ts";

/** A unit of work and the tasks that a stop of it stops. */
export interface StoppableUnit extends DepartingUnit {
  readonly members: readonly TaskRun[];
}

/** Lists what runs on a departing worker and isn't being stopped. */
export function listUnits(
  update: Update,
  { info, attempts }: Readonly<Session>,
): StoppableUnit[] {
  const units: StoppableUnit[] = [];
  const gangs = new Set<StageRun>();
  for (const { task: name, attempt } of attempts.values()) {
    const task = findTask(update, name);
    if (
      task?.phase !== TaskPhase.Placed || task.workerId !== info.id ||
      task.attempt !== attempt || !isOpen(task.stage.job)
    ) {
      continue;
    }
    const { stage } = task;
    if (!stage.spec.gang) {
      if (!task.isStopping) {
        units.push(createUnit(update, stage, [task]));
      }
    } else if (!gangs.has(stage)) {
      gangs.add(stage);
      if (!stage.tasks.some(({ isStopping }) => isStopping)) {
        units.push(createUnit(update, stage, stage.tasks));
      }
    }
  }
  return units;
}

/**
 * Creates the unit of a task or of a gang. Members of a gang on workers that
 * stay need no other room, and all end with the last one.
 */
function createUnit(
  update: Update,
  stage: StageRun,
  members: readonly TaskRun[],
): StoppableUnit {
  const { spec, job: { record: { queue } } } = stage;
  const { byWorker } = update.read(DEPARTURES);
  const departing = members.filter(({ workerId }) => byWorker.has(workerId));
  const notices = departing.map(({ workerId }) =>
    byWorker.get(workerId)!.notice
  );
  return {
    name: spec.gang ? stage.name : taskName(members[0]!),
    stage: stage.name,
    priority: queue.priority,
    isLasting: spec.lasting,
    isBestEffort: spec.bestEffort,
    checkpoints: spec.checkpoints,
    isConfirmed: members.every((task) => isConfirmed(update, task)),
    tasks: members.length,
    needs: departing.map(({ stage }) => needOf(stage)),
    leftMs: leftMsOf(update, stage, members),
    departsMs: Math.min(...notices.map(({ departsMs }) => departsMs)),
    isDated: notices.every(({ isDated }) => isDated),
    disruptionsLeft: spec.lasting
      ? countDisruptionsLeft(update, stage)
      : Infinity,
    members,
  };
}

/** Returns the room that a task of the stage needs on another worker. */
export function needOf(stage: StageRun): RoomNeed {
  return {
    size: reservedSize(stage),
    requiredLabel: stage.spec.requiredLabel,
  };
}

/**
 * Returns whether the attempt is known to run on a worker that replies. A start
 * or stop without a reply may still be carried out, and a worker that isn't
 * reconciled may run attempts that aren't known.
 */
function isConfirmed(update: Update, task: TaskRun): boolean {
  if (task.phase !== TaskPhase.Placed || !task.isRunning || task.isStopping) {
    return false;
  }
  const session = update.read(SESSIONS).byWorker.get(task.workerId);
  const attempt = session?.attempts.get(
    attemptKey({ task: taskName(task), attempt: task.attempt }),
  );
  return session?.isReconciled === true && session.missed === 0 &&
    session.clock !== undefined && attempt?.phase === AttemptPhase.Running;
}

/**
 * Returns the longest time that any of the tasks is expected to run on: the
 * upper estimate on its worker, less the listed percentage and the time since
 * that listing.
 */
function leftMsOf(
  update: Update,
  { spec: { estimateMs }, job }: StageRun,
  members: readonly TaskRun[],
): number | undefined {
  if (estimateMs === 0) {
    return undefined;
  }
  const { upperMs } = expectedRun(update, {
    queue: job.record.queue.name,
    estimateMs,
  });
  const health = update.read(WORKER_HEALTH);
  const { byWorker } = update.read(SESSIONS);
  return members.reduce((longestMs, { workerId, percent, placedMs }) => {
    const listedMs = Math.max(
      byWorker.get(workerId)?.answeredMs ?? placedMs,
      placedMs,
    );
    const runMs = upperMs * health.slowness(workerId) * (1 - percent / 100);
    return Math.max(longestMs, runMs - (update.now - listedMs));
  }, 0);
}

/**
 * Counts the lasting tasks that may be taken away. Those that aren't known to run
 * count as away: a silent worker may be down, before its lease is over.
 */
function countDisruptionsLeft(
  update: Update,
  { spec, tasks }: StageRun,
): number {
  if (spec.disruptionBudget === 0) {
    return 0;
  }
  const away = tasks.filter((task) => !isConfirmed(update, task));
  return spec.disruptionBudget - away.length;
}

/**
 * Returns the room on the pool's workers that take tasks, less what was promised
 * to tasks that are on their way there.
 */
export function listRoom(update: Update, pool: string): FreeRoom {
  const onWay = [...update.read(DEPARTURES).moving.values()]
    .flatMap((moving) =>
      moving.pool === pool && moving.need !== undefined ? [moving.need] : []
    );
  return new FreeRoom(
    () =>
      update.read(CANDIDATES).inPool(pool)
        .filter(({ session }) => session.info.state === WorkerState.Ready)
        .map(({ free, session }) => ({ free, labels: session.info.labels })),
    onWay,
  );
}
