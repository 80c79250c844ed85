import type { EndedTask } from "@mustardweir/protocol";
import type { TaskRun } from "./task_run.ts";

/** The state that a worker keeps for one slice. */
export class WorkerSlice {
  readonly sliceId: string;
  /** The highest epoch received. */
  epoch: number;
  /** Starts of this epoch below this sequence number are refused. */
  floor = 0;
  leaseUntilMs = -Infinity;
  /** State sequence number of the newest change to report to the owner. */
  lastChangeSeq: number;
  readonly running = new Map<string, TaskRun>();
  readonly ended = new Map<string, EndedTask>();

  constructor(sliceId: string, options: { epoch: number; changeSeq: number }) {
    this.sliceId = sliceId;
    this.epoch = options.epoch;
    this.lastChangeSeq = options.changeSeq;
  }

  /** When the next task ends or the lease expires; `Infinity` if none runs. */
  get nextDueMs(): number {
    let next = this.running.size > 0 ? this.leaseUntilMs : Infinity;
    for (const run of this.running.values()) {
      next = Math.min(next, run.endsAtMs);
    }
    return next;
  }
}
