import type { EndedTask } from "@mustardweir/protocol";
import type { TaskRun } from "./task_run.ts";

/** What a worker keeps for one slice that called it. */
export class WorkerSlice {
  readonly sliceId: string;
  /** The highest epoch seen. */
  epoch: number;
  /** Starts of the epoch below this sequence are settled. */
  floor = 0;
  leaseUntilMs = -Infinity;
  /** Sequence of the newest change that the owner has to hear of. */
  newsSeq: number;
  readonly running = new Map<string, TaskRun>();
  readonly ended = new Map<string, EndedTask>();

  constructor(sliceId: string, options: { epoch: number; newsSeq: number }) {
    this.sliceId = sliceId;
    this.epoch = options.epoch;
    this.newsSeq = options.newsSeq;
  }

  /** When a task ends or the lease lapses next; infinite when nothing runs. */
  get nextDueMs(): number {
    let next = this.running.size > 0 ? this.leaseUntilMs : Infinity;
    for (const run of this.running.values()) {
      next = Math.min(next, run.endsAtMs);
    }
    return next;
  }
}
