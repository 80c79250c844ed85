import { addResources, type Resources } from "@mustardweir/model";

/**
 * Shortest time that a task is expected to go on, as a share of the time for
 * which it has run beyond what was expected: an overdue task tells that the
 * estimate was wrong, not that it ends now.
 */
const OVERDUE_SHARE = 0.5;

/** When a running task is expected to end. */
export interface RunningTask {
  readonly size: Resources;
  /** Expected time until its end, in milliseconds; Infinity if it has none. */
  readonly meanMs: number;
  /** The same by the upper quantile of the run time. */
  readonly upperMs: number;
}

/** A usable worker of a rack that may run the task. */
export interface RackWorker {
  readonly id: string;
  readonly capacity: Resources;
  /** Room that is free and not reserved for others. */
  readonly free: Resources;
  /** Most further tasks of the stage; Infinity without a limit. */
  readonly maxTasks: number;
  /** Time until the stage may start there, in milliseconds. */
  readonly readyMs: number;
  readonly running: readonly RunningTask[];
}

/** A rack as a stage sees it. */
export interface Rack {
  readonly name: string;
  /** Ids of all its usable workers. */
  readonly usable: readonly string[];
  /** Those that may run the stage as far as is known. */
  readonly workers: readonly RackWorker[];
  /**
   * Number of tasks, in tasks of the stage's size, of other stages that prefer
   * the rack, don't rank after the stage and have not begun to wait for it.
   */
  readonly queuedTasks: number;
}

/** Times at which a rack gets room for one more task, earliest first. */
export interface RackOutlook {
  /** By the mean run times, in milliseconds from now. */
  readonly meanMs: readonly number[];
  /** By the upper quantile of the run times. */
  readonly upperMs: readonly number[];
}

/** What is known of the run of a task. */
export interface RunProgress {
  /** Expected duration of the whole run, in milliseconds. */
  readonly meanMs: number;
  readonly upperMs: number;
  readonly elapsedMs: number;
  /** Progress that its worker listed, 0 to 100. */
  readonly percent: number;
  /** Time since that progress was listed, in milliseconds. */
  readonly sinceListedMs: number;
}

/**
 * Returns how long a running task is expected to go on, in milliseconds.
 *
 * @example
 * ```ts
 * // 400 ms by the mean
 * expectedRest({
 *   meanMs: 1_000, upperMs: 1_500, elapsedMs: 600, percent: 0, sinceListedMs: 0,
 * });
 * ```
 */
export function expectedRest(
  run: RunProgress,
): Pick<RunningTask, "meanMs" | "upperMs"> {
  const meanMs = restOf(run, run.meanMs);
  return { meanMs, upperMs: Math.max(meanMs, restOf(run, run.upperMs)) };
}

function restOf(
  { elapsedMs, percent, sinceListedMs }: RunProgress,
  wholeMs: number,
): number {
  const restMs = percent > 0
    ? wholeMs * (1 - percent / 100) - sinceListedMs
    : wholeMs - elapsedMs;
  return restMs > 0 ? restMs : -restMs * OVERDUE_SHARE;
}

/**
 * Returns when the rack gets room for tasks of a size, at most `limit` times, if
 * nothing else starts there. The cost is bounded by what runs in the rack.
 */
export function rackOutlook(
  { workers }: Rack,
  size: Resources,
  limit: number,
): RackOutlook {
  const timesBy = (endOf: (task: RunningTask) => number) =>
    workers.flatMap((worker) => timesOn(worker, { size, limit, endOf }))
      .sort((a, b) => a - b)
      .slice(0, limit);
  return {
    meanMs: timesBy(({ meanMs }) => meanMs),
    upperMs: timesBy(({ upperMs }) => upperMs),
  };
}

function timesOn(
  worker: RackWorker,
  { size, limit, endOf }: {
    readonly size: Resources;
    readonly limit: number;
    readonly endOf: (task: RunningTask) => number;
  },
): number[] {
  const most = Math.min(limit, worker.maxTasks);
  const ends = worker.running.filter((task) => Number.isFinite(endOf(task)))
    .sort((a, b) => endOf(a) - endOf(b));
  const times: number[] = [];
  let { free } = worker;
  const addTimes = (atMs: number) => {
    const fitting = Math.min(countFitting(free, size), most);
    while (times.length < fitting) {
      times.push(Math.max(atMs, worker.readyMs));
    }
  };
  addTimes(0);
  for (const task of ends) {
    if (times.length >= most) {
      break;
    }
    free = addResources(free, task.size);
    addTimes(endOf(task));
  }
  return times;
}

/** Returns how many tasks of a size the rack holds when it is empty. */
export function countInEmptyRack(
  { workers }: Rack,
  size: Resources,
  limit: number,
): number {
  return workers.reduce(
    (sum, { capacity }) => sum + Math.min(countFitting(capacity, size), limit),
    0,
  );
}

/** Returns how many tasks of a size fit into the given room. */
export function countFitting(free: Resources, size: Resources): number {
  const count = Math.min(
    countOf(free.cpuMillis, size.cpuMillis),
    countOf(free.memoryMb, size.memoryMb),
    countOf(free.accelerators, size.accelerators),
    countOf(free.slots, size.slots),
  );
  return Math.max(0, count);
}

function countOf(free: number, size: number): number {
  return size > 0 ? Math.floor(free / size) : Infinity;
}

/** Returns how many tasks of `size` take the room of one of `other`. */
export function relativeSize(other: Resources, size: Resources): number {
  const ratios = [
    [other.cpuMillis, size.cpuMillis],
    [other.memoryMb, size.memoryMb],
    [other.accelerators, size.accelerators],
  ].flatMap(([theirs, ours]) => ours! > 0 ? [theirs! / ours!] : []);
  return Math.max(0, ...ratios);
}
