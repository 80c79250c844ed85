import type { SliceTask } from "./slice_state.ts";

/** Weighs a task in the same rack against one on the same instance. */
const RACK_WEIGHT = 1_024;

/** How many tasks of one job run on each instance and in each rack. */
interface JobCounts {
  readonly byInstance: Map<number, number>;
  readonly byRack: Map<string, number>;
}

/**
 * Counts tasks of services, which are spread over racks first and then over
 * instances, so that one failure takes few tasks of a job.
 */
export class SpreadCounts {
  readonly #jobs = new Map<string, JobCounts>();

  /** Counts a task that takes room. */
  add({ task, worker }: SliceTask): void {
    const counts = this.#jobs.get(task.jobId) ?? createCounts();
    this.#jobs.set(task.jobId, counts);
    change(counts.byInstance, worker.index, 1);
    change(counts.byRack, worker.rack, 1);
  }

  /** Takes back what `add` did. */
  remove({ task, worker }: SliceTask): void {
    const counts = this.#jobs.get(task.jobId);
    if (counts === undefined) {
      return;
    }
    change(counts.byInstance, worker.index, -1);
    change(counts.byRack, worker.rack, -1);
    if (counts.byRack.size === 0) {
      this.#jobs.delete(task.jobId);
    }
  }

  /** How close together tasks of the job would be with one more there. */
  crowding(jobId: string, index: number, rack: string): number {
    const counts = this.#jobs.get(jobId);
    return RACK_WEIGHT * (counts?.byRack.get(rack) ?? 0) +
      (counts?.byInstance.get(index) ?? 0);
  }
}

function createCounts(): JobCounts {
  return { byInstance: new Map(), byRack: new Map() };
}

function change<Key>(counts: Map<Key, number>, key: Key, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count === 0) {
    counts.delete(key);
  } else {
    counts.set(key, count);
  }
}
