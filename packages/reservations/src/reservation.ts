import {
  addResources,
  dominantShare,
  fitsWithin,
  NO_RESOURCES,
  type Resources,
  scaleResources,
  subtractResources,
} from "@mustardweir/model";

/**
 * Share of the dominant size of a stage's tasks below which other work is
 * smaller. Work of similar size leaves room for such a task when it ends.
 */
const SMALLER_SHARE = 0.5;

/** A stage that waits for more room than any single end of a task frees. */
export interface WideStage {
  /** Name of the stage: `jobId.occurrence.stage`. */
  readonly name: string;
  readonly pool: string;
  /** Stages of a lower rank are placed first. */
  readonly rank: number;
  /** Priority of its queue; 0 is the most urgent. */
  readonly priority: number;
  /** Room of one task. */
  readonly size: Resources;
  /** Number of tasks that must start at the same time. */
  readonly tasks: number;
  /** Whether the tasks are slower when they span racks. */
  readonly sameRack: boolean;
  /** Most of its tasks on one worker; 0 for no limit. */
  readonly maxPerWorker: number;
}

/** A task that uses room on a worker. */
export interface RunningWork {
  /** Name of the task. */
  readonly name: string;
  readonly size: Resources;
  /**
   * Time at which it is expected to have ended, by the upper estimate, in
   * milliseconds; infinite for a task that runs until cancellation.
   */
  readonly endMs: number;
  /** Time at which its attempt was started, in milliseconds. */
  readonly startedMs: number;
  /** Priority of its queue. */
  readonly priority: number;
  /** Number of times that it was preempted. */
  readonly preemptions: number;
  /** Whether it resumes from a checkpoint and may be preempted once more. */
  readonly isPreemptible: boolean;
}

/** Room on a worker that the stage may use, now and as its tasks end. */
export interface WorkerRoom {
  readonly id: string;
  readonly rack: string;
  readonly free: Resources;
  /** Run time on the worker relative to the average; 1 is average. */
  readonly slowness: number;
  readonly runs: readonly RunningWork[];
}

/** Why a reservation was given up. */
export enum ReleaseCause {
  /** Not fulfilled by twice the expected time. */
  Expired = "expired",
  /** A worker is no longer registered, or is in another pool by now. */
  WorkerLeft = "worker-left",
  WorkerDraining = "worker-draining",
  /** A worker doesn't answer. */
  WorkerSilent = "worker-silent",
  /** A worker gets no tasks for another reason, such as a quarantine. */
  WorkerUnusable = "worker-unusable",
  /** The placement policy does not allow a worker for the stage. */
  PermitRefused = "permit-refused",
  /** The job of the stage ended or was cancelled. */
  StageEnded = "stage-ended",
  RankChanged = "rank-changed",
  /**
   * Its tasks exceed the ceiling of their team, have crashed workers, or are
   * members of a gang that is being stopped.
   */
  NotStartable = "not-startable",
  /** A stage that is placed earlier needs the reservation. */
  Outranked = "outranked",
}

/** Workers that are held for a stage. */
export interface Reservation {
  readonly stage: WideStage;
  /** Number of tasks for which each worker is held, by the worker's id. */
  readonly workers: ReadonlyMap<string, number>;
  readonly createdMs: number;
  /** Time after which it is given up, in milliseconds. */
  readonly deadlineMs: number;
  /** Time at which the stage is expected to start, in milliseconds. */
  expectedMs: number;
  /**
   * Earliest value of `expectedMs` so far. Other work must end before it: if it
   * moved with tasks that take longer than estimated, more such work would be
   * let in meanwhile, without an end.
   */
  openUntilMs: number;
  /** Largest slowness of its workers. */
  slowness: number;
  /** Time at which `expectedMs` was last computed, in milliseconds. */
  estimatedMs: number;
  /** Whether the stage that is being placed may use the held room. */
  isOpen: boolean;
}

/** Room that is kept free on one worker. */
export interface Hold {
  readonly reservation: Reservation;
  /** Free room that other stages must leave. */
  readonly room: Resources;
}

/** A stage that asks whether it may use held room. */
export interface Asker {
  readonly name: string;
  readonly rank: number;
  /**
   * Run time of its tasks by the upper estimate, in milliseconds; infinite for
   * tasks that run until cancellation.
   */
  readonly upperMs: number;
}

/**
 * Returns whether a stage may use the room that is held for another one: it
 * ranks before it, or its tasks end before the held room is needed.
 *
 * @example
 * ```ts
 * const isOpen = isOpenTo(reservation, { name, rank, upperMs: 700 }, now);
 * ```
 */
export function isOpenTo(
  { stage, openUntilMs, slowness }: Reservation,
  asker: Asker,
  now: number,
): boolean {
  return asker.name === stage.name || asker.rank < stage.rank ||
    now + asker.upperMs * slowness <= openUntilMs;
}

/**
 * Returns the free room that other stages must leave on a held worker: what the
 * reservation needs there beyond the room of tasks that end in time.
 *
 * @example
 * ```ts
 * const left = subtractResources(free, keptRoom(reservation, "w1", runs));
 * ```
 */
export function keptRoom(
  { stage, workers, expectedMs }: Reservation,
  workerId: string,
  runs: readonly RunningWork[],
): Resources {
  const needed = scaleResources(stage.size, workers.get(workerId) ?? 0);
  const freed = runs.filter(({ endMs }) => endMs <= expectedMs)
    .map(({ size }) => size).reduce(addResources, NO_RESOURCES);
  const { cpuMillis, memoryMb, accelerators, slots } = subtractResources(
    needed,
    freed,
  );
  return {
    cpuMillis: Math.max(0, cpuMillis),
    memoryMb: Math.max(0, memoryMb),
    accelerators: Math.max(0, accelerators),
    slots: Math.max(0, slots),
  };
}

/**
 * Returns whether the size takes more than half of a worker in some resource.
 *
 * @example
 * ```ts
 * isWide(reservedSize(stage), largest); // 6 of 8 accelerators: true
 * ```
 */
export function isWide(size: Resources, capacity: Resources): boolean {
  return fitsWithin(size, capacity) &&
    !fitsWithin(scaleResources(size, 2), capacity);
}

/**
 * Returns whether other work is smaller than a task of this size: less than half
 * of it in the resource of which each takes the largest share of a worker.
 *
 * @example
 * ```ts
 * isSmaller(reservedSize(other), { size, capacity }); // 3 beside 8 of 8: true
 * ```
 */
export function isSmaller(
  other: Resources,
  { size, capacity }: {
    readonly size: Resources;
    readonly capacity: Resources;
  },
): boolean {
  return dominantShare(other, capacity) <
    SMALLER_SHARE * dominantShare(size, capacity);
}
