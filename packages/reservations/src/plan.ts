import {
  addResources,
  fitsWithin,
  type Resources,
  subtractResources,
} from "@mustardweir/model";
import type { ReservationPolicy } from "./policies.ts";
import type { RunningWork, WideStage, WorkerRoom } from "./reservation.ts";

/** Workers that would have room for a stage, and when. */
export interface RoomPlan {
  /** Number of tasks for which each worker is held, by the worker's id. */
  readonly workers: ReadonlyMap<string, number>;
  /** Time at which all its tasks have room, in milliseconds. */
  readonly readyMs: number;
  /** Largest slowness of the workers. */
  readonly slowness: number;
  /** Names of the tasks that are to be stopped. */
  readonly stops: readonly string[];
}

/** Circumstances of a plan. */
export interface PlanContext {
  readonly policy: ReservationPolicy;
  /** Most workers that may be held. */
  readonly maxWorkers: number;
  readonly now: number;
}

/** Room for one more task of the stage on a worker. */
interface Opening {
  readonly worker: WorkerRoom;
  /** Time from which it is there, in milliseconds. */
  readonly readyMs: number;
  /** Number of tasks on the worker that must end before. */
  readonly ends: number;
  /** Of these, the tasks that are to be stopped. */
  readonly stopped: readonly string[];
}

/**
 * Returns the workers that have room for all tasks of the stage soonest;
 * undefined if too few ever have.
 *
 * @example
 * ```ts
 * const plan = planRoom(stage, rooms, { policy, maxWorkers: 17, now });
 * ```
 */
export function planRoom(
  stage: WideStage,
  workers: readonly WorkerRoom[],
  context: PlanContext,
): RoomPlan | undefined {
  const openings = workers.map((worker) => listOpenings(stage, worker, context))
    .filter(({ length }) => length > 0);
  const soonest = chooseOpenings(stage, openings, context);
  if (!stage.sameRack || soonest === undefined) {
    return soonest;
  }
  // Tasks that span racks are slower, but a wait for one rack is not planned.
  const racks = new Set(openings.map(([first]) => first!.worker.rack));
  const { readyMs } = soonest;
  for (const rack of racks) {
    const inRack = openings.filter(([first]) => first!.worker.rack === rack);
    const plan = takeReady(stage, inRack, readyMs, context);
    if (plan !== undefined) {
      return plan;
    }
  }
  return soonest;
}

/** Returns the openings of a worker, soonest first. */
function listOpenings(
  stage: WideStage,
  worker: WorkerRoom,
  { policy, now }: PlanContext,
): Opening[] {
  const ends = worker.runs.map((run) => ({
    run,
    endMs: policy.endOf(stage, run, now),
  })).sort((a, b) => a.endMs - b.endMs || byStops(a.run, b.run));
  const most = stage.maxPerWorker === 0
    ? stage.tasks
    : Math.min(stage.tasks, stage.maxPerWorker);
  const openings: Opening[] = [];
  const stopped: string[] = [];
  let room: Resources = worker.free;
  let readyMs = now;
  let ended = 0;
  while (openings.length < most) {
    if (fitsWithin(stage.size, room)) {
      room = subtractResources(room, stage.size);
      openings.push({ worker, readyMs, ends: ended, stopped: [...stopped] });
      continue;
    }
    const next = ends[ended];
    if (next === undefined || next.endMs === Infinity) {
      break;
    }
    ended++;
    room = addResources(room, next.run.size);
    readyMs = Math.max(now, next.endMs);
    if (next.endMs < next.run.endMs) {
      stopped.push(next.run.name);
    }
  }
  return openings;
}

/** Puts first what was stopped less often, and then what started last. */
function byStops(a: RunningWork, b: RunningWork): number {
  return a.preemptions - b.preemptions || b.startedMs - a.startedMs;
}

/**
 * Chooses openings for all tasks at the earliest time at which few enough
 * workers have them.
 */
function chooseOpenings(
  stage: WideStage,
  byWorker: readonly (readonly Opening[])[],
  context: PlanContext,
): RoomPlan | undefined {
  const timesMs = byWorker.flat().map(({ readyMs }) => readyMs)
    .sort((a, b) => a - b);
  // Openings only become more with time.
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const most = mostOpenings(byWorker, timesMs[middle]!, context.maxWorkers);
    if (most >= stage.tasks) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  const readyMs = timesMs[low];
  return readyMs === undefined
    ? undefined
    : takeReady(stage, byWorker, readyMs, context);
}

/** Takes openings that are there at a time; undefined if they are too few. */
function takeReady(
  stage: WideStage,
  byWorker: readonly (readonly Opening[])[],
  readyMs: number,
  { maxWorkers }: PlanContext,
): RoomPlan | undefined {
  const ready = byWorker.map((openings) =>
    openings.slice(0, countReady(openings, readyMs))
  ).filter(({ length }) => length > 0);
  return takeOpenings(stage, ready.toSorted(byEnds), { readyMs, maxWorkers }) ??
    takeOpenings(
      stage,
      ready.toSorted((a, b) => b.length - a.length),
      { readyMs, maxWorkers },
    );
}

/** Returns the most openings that this many workers have at a time. */
function mostOpenings(
  byWorker: readonly (readonly Opening[])[],
  atMs: number,
  maxWorkers: number,
): number {
  const counts = byWorker.map((openings) => countReady(openings, atMs));
  if (counts.length > maxWorkers) {
    counts.sort((a, b) => b - a).length = maxWorkers;
  }
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Returns the number of openings of a worker that are there at a time. */
function countReady(openings: readonly Opening[], atMs: number): number {
  const later = openings.findIndex(({ readyMs }) => readyMs > atMs);
  return later < 0 ? openings.length : later;
}

/**
 * Puts workers first on which few tasks need to end, since each estimate may be
 * wrong, and of these the ones whose room would be unused for the shortest time.
 */
function byEnds(a: readonly Opening[], b: readonly Opening[]): number {
  return a[0]!.ends - b[0]!.ends || b[0]!.readyMs - a[0]!.readyMs;
}

/** Takes the openings of the first workers; undefined if they are too few. */
function takeOpenings(
  { tasks }: WideStage,
  byWorker: readonly (readonly Opening[])[],
  { readyMs, maxWorkers }: {
    readonly readyMs: number;
    readonly maxWorkers: number;
  },
): RoomPlan | undefined {
  const workers = new Map<string, number>();
  const stops: string[] = [];
  let slowness = 1;
  let left = tasks;
  for (const openings of byWorker.slice(0, maxWorkers)) {
    if (left === 0) {
      break;
    }
    const taken = Math.min(left, openings.length);
    const { worker, stopped } = openings[taken - 1]!;
    workers.set(worker.id, taken);
    stops.push(...stopped);
    slowness = Math.max(slowness, worker.slowness);
    left -= taken;
  }
  return left === 0 ? { workers, readyMs, slowness, stops } : undefined;
}
