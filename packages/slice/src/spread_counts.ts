import type { SliceTask } from "./slice_state.ts";

/** Weight of a task in the same rack; one on the same instance weighs 1. */
const RACK_WEIGHT = 1_024;

/** The number of tasks of one job on each instance and in each rack. */
interface JobCounts {
  readonly byInstance: Map<number, number>;
  readonly byRack: Map<string, number>;
}

/**
 * Counts the tasks of services, which are spread over racks first and then over
 * instances, so that one failure ends few tasks of a job.
 */
export class SpreadCounts {
  readonly #jobs = new Map<string, JobCounts>();

  /** Counts a task that has room on an instance. */
  add({ task, worker }: SliceTask): void {
    const counts = this.#jobs.get(task.jobId) ?? createCounts();
    this.#jobs.set(task.jobId, counts);
    adjust(counts.byInstance, worker.index, 1);
    adjust(counts.byRack, worker.rack, 1);
  }

  /** Removes a task that was counted with `add`. */
  remove({ task, worker }: SliceTask): void {
    const counts = this.#jobs.get(task.jobId);
    if (counts === undefined) {
      return;
    }
    adjust(counts.byInstance, worker.index, -1);
    adjust(counts.byRack, worker.rack, -1);
    if (counts.byRack.size === 0) {
      this.#jobs.delete(task.jobId);
    }
  }

  /**
   * Rates an instance by the job's tasks there and in its rack; lower is better.
   */
  crowding(jobId: string, index: number, rack: string): number {
    const counts = this.#jobs.get(jobId);
    return RACK_WEIGHT * (counts?.byRack.get(rack) ?? 0) +
      (counts?.byInstance.get(index) ?? 0);
  }
}

function createCounts(): JobCounts {
  return { byInstance: new Map(), byRack: new Map() };
}

function adjust<Key>(counts: Map<Key, number>, key: Key, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count === 0) {
    counts.delete(key);
  } else {
    counts.set(key, count);
  }
}
