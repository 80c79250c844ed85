import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Resources,
  scaleResources,
  StagedJobState,
  subtractResources,
} from "@mustardweir/model";
import { type KnownJob, REPLICA, storeNow } from "@mustardweir/replica";
import { type Session, SESSIONS } from "@mustardweir/sessions";
import {
  DISPATCH_STATE,
  type EndedWork,
  type JobRun,
  reservedSize,
  TaskPhase,
  type TaskSizes,
} from "./dispatch_state.ts";

/** Interval at which the tasks that may run unseen are summed, in milliseconds. */
const SUM_INTERVAL_MS = 100;
/**
 * Time after the end of a job in which its tasks may still run, in milliseconds:
 * the longest lease of a worker that was silent then, and a margin.
 */
const MAX_STOPPING_MS = 15_000;

const UNBOUNDED: Resources = {
  cpuMillis: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
  slots: Infinity,
};

/** Workers of a pool on which a predecessor may have left unknown attempts. */
interface UnreconciledPool {
  /** Store version up to which accepted jobs are concerned. */
  readonly upToVersion: number;
  /** Sum of the workers' capacities; unbounded if one isn't known. */
  readonly capacity: Resources;
}

const NO_TASKS: TaskSizes = {
  reserved: NO_RESOURCES,
  unreserved: NO_RESOURCES,
};

/**
 * Attempts that predecessors may have left on workers which haven't reported yet,
 * as of one placement pass.
 */
export class InheritedWork {
  readonly #update: Update;
  readonly #pools: ReadonlyMap<string, UnreconciledPool>;

  constructor(update: Update) {
    this.#update = update;
    this.#pools = listUnreconciledPools(update);
    if (this.#pools.size === 0) {
      const state = update.write(DISPATCH_STATE);
      state.endedWork = [];
      state.unseenTasks = undefined;
    }
  }

  /**
   * Returns whether a predecessor may have left tasks of the job that are not
   * reported yet.
   */
  mayRun({ jobId, record }: Pick<JobRun, "jobId" | "record">): boolean {
    return this.#concerns(record.queue.pool, versionOf(this.#update, jobId));
  }

  /**
   * Returns an upper bound of what tasks of the team use that aren't found yet:
   * in each pool what may have been started there, within the capacity of the
   * workers that haven't reported.
   */
  usageOf(team: string): Resources {
    if (this.#pools.size === 0) {
      return NO_RESOURCES;
    }
    let usage = NO_RESOURCES;
    for (const [pool, { reserved, unreserved }] of this.#tasksOf(team)) {
      const bounded = leastOf(reserved, this.#capacityOf(pool));
      usage = addResources(usage, addResources(bounded, unreserved));
    }
    return usage;
  }

  #concerns(pool: string, version: number): boolean {
    // A worker whose pool isn't known may belong to any.
    return [pool, ""].some((name) =>
      version <= (this.#pools.get(name)?.upToVersion ?? -Infinity)
    );
  }

  #capacityOf(pool: string): Resources {
    return [pool, ""]
      .map((name) => this.#pools.get(name)?.capacity ?? NO_RESOURCES)
      .reduce(addResources);
  }

  #tasksOf(team: string): ReadonlyMap<string, TaskSizes> {
    const state = this.#update.write(DISPATCH_STATE);
    const { now } = this.#update;
    // As tasks are found, the true sums only shrink until the next time.
    if (now - (state.unseenTasks?.atMs ?? -Infinity) >= SUM_INTERVAL_MS) {
      state.unseenTasks = { atMs: now, byTeam: this.#sumTasks() };
    }
    return state.unseenTasks?.byTeam.get(team) ?? new Map();
  }

  #sumTasks(): Map<string, Map<string, TaskSizes>> {
    const { jobs, endedWork } = this.#update.read(DISPATCH_STATE);
    const sums = new Map<string, Map<string, TaskSizes>>();
    const add = ({ team, pool, tasks }: Omit<EndedWork, "version">) => {
      const ofTeam = sums.get(team) ?? new Map<string, TaskSizes>();
      sums.set(team, ofTeam);
      ofTeam.set(pool, addSizes(ofTeam.get(pool) ?? NO_TASKS, tasks));
    };
    for (const job of jobs.values()) {
      const { team, queue: { pool } } = job.record;
      if (job.isInherited && this.mayRun(job)) {
        add({ team, pool, tasks: sumUnseen(job) });
      }
    }
    endedWork
      .filter(({ pool, version }) => this.#concerns(pool, version))
      .forEach(add);
    return sums;
  }
}

/**
 * Notes what may run unseen of a job that a predecessor may have started and
 * that ends now, until all workers have reported.
 */
export function noteEndedWork(update: Update, job: JobRun): void {
  if (!job.isInherited) {
    return;
  }
  const { team, queue: { pool } } = job.record;
  const tasks = sumUnseen(job);
  const isNothing = fitsWithin(tasks.reserved, NO_RESOURCES) &&
    fitsWithin(tasks.unreserved, NO_RESOURCES);
  if (!isNothing && new InheritedWork(update).mayRun(job)) {
    update.write(DISPATCH_STATE).endedWork.push({
      team,
      pool,
      version: versionOf(update, job.jobId),
      tasks,
    });
  }
}

/**
 * Notes what may still run of a job that had ended before this node became the
 * owner: its tasks were stopped not long ago.
 */
export function noteWorkEndedBefore(
  update: Update,
  { record, progress, version }: Readonly<KnownJob>,
): void {
  const { endedMs = 0, state } = progress ?? {};
  const isRecent = storeNow(update) - endedMs < MAX_STOPPING_MS;
  if (state === StagedJobState.Completed || !isRecent) {
    return;
  }
  const { team, queue: { pool }, spec } = record;
  const tasks = spec.stages.map((stage) => sizeOf(stage, stage.tasks))
    .reduce(addSizes, NO_TASKS);
  update.write(DISPATCH_STATE).endedWork.push({
    team,
    pool,
    version: version ?? 0,
    tasks,
  });
}

function versionOf(update: Update, jobId: string): number {
  return update.read(REPLICA).jobs.get(jobId)?.version ?? 0;
}

function listUnreconciledPools(
  update: Update,
): ReadonlyMap<string, UnreconciledPool> {
  const pools = new Map<string, UnreconciledPool>();
  const { byWorker, inherited } = update.read(SESSIONS);
  for (const workerId of inherited) {
    const session = byWorker.get(workerId)!;
    const { inheritedUpTo, info: { pool } } = session;
    const { upToVersion = -Infinity, capacity = NO_RESOURCES } =
      pools.get(pool) ?? {};
    pools.set(pool, {
      upToVersion: Math.max(upToVersion, inheritedUpTo),
      capacity: addResources(capacity, capacityOf(session)),
    });
  }
  return pools;
}

/** Returns the worker's capacity; that of one that has left may not be known. */
function capacityOf({ info: { capacity } }: Readonly<Session>): Resources {
  return fitsWithin(capacity, NO_RESOURCES) ? UNBOUNDED : capacity;
}

/** Returns the sizes of the tasks of an inherited job that haven't been found. */
function sumUnseen({ stages, occurrences, record }: JobRun): TaskSizes {
  let sum = NO_TASKS;
  for (const { spec, tasks } of stages.values()) {
    const unseen = tasks.filter(({ phase }) => phase === TaskPhase.Waiting);
    sum = addSizes(sum, sizeOf(spec, unseen.length));
  }
  const unopened = occurrences.unopened;
  return unopened === 0
    ? sum
    : record.spec.stages.map((spec) => sizeOf(spec, spec.tasks * unopened))
      .reduce(addSizes, sum);
}

function sizeOf(
  spec: JobRun["record"]["spec"]["stages"][number],
  tasks: number,
): TaskSizes {
  const reserved = reservedSize({ spec });
  return {
    reserved: scaleResources(reserved, tasks),
    unreserved: scaleResources(subtractResources(spec.size, reserved), tasks),
  };
}

function addSizes(a: TaskSizes, b: TaskSizes): TaskSizes {
  return {
    reserved: addResources(a.reserved, b.reserved),
    unreserved: addResources(a.unreserved, b.unreserved),
  };
}

function leastOf(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
    slots: Math.min(a.slots, b.slots),
  };
}
