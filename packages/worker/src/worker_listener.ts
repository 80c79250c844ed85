import type { EndReason } from "@mustardweir/model";
import type { TaskEnd, TaskSpec } from "@mustardweir/protocol";

/** The start of a task on a worker. */
export interface TaskStarted {
  readonly sliceId: string;
  readonly task: TaskSpec;
  /** In milliseconds of the worker's clock. */
  readonly startedMs: number;
}

/** The end of a task on a worker; times are those of the worker's clock. */
export interface TaskEnded extends TaskStarted {
  readonly endedMs: number;
  readonly end: TaskEnd;
}

/** Notified synchronously of every start and end of a task on a worker. */
export abstract class WorkerListener {
  /** Called when a task has started. */
  abstract taskStarted(event: TaskStarted): void;
  /** Called when a task has ended. */
  abstract taskEnded(event: TaskEnded): void;
}

/** One run of a task; times are Unix time in milliseconds. */
export interface RunRecord {
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  readonly startedMs: number;
  readonly endedMs?: number;
  readonly reason?: EndReason;
}

/** Records all task runs; the records survive a restart of the worker. */
export class RunLog extends WorkerListener {
  readonly #originMs: number;
  readonly #runs: RunRecord[] = [];
  readonly #runningIndexes = new Map<string, number>();

  /** `originMs` is the Unix time at which the worker's clock is 0. */
  constructor(originMs: number) {
    super();
    this.#originMs = originMs;
  }

  /** All runs, in the order of their starts. */
  get runs(): readonly RunRecord[] {
    return this.#runs;
  }

  override taskStarted({ task, startedMs }: TaskStarted): void {
    this.#runningIndexes.set(task.taskId, this.#runs.length);
    this.#runs.push({
      taskId: task.taskId,
      jobId: task.jobId,
      team: task.team,
      startedMs: this.#originMs + startedMs,
    });
  }

  override taskEnded({ task, endedMs, end }: TaskEnded): void {
    const index = this.#runningIndexes.get(task.taskId);
    const run = index === undefined ? undefined : this.#runs[index];
    if (index === undefined || run === undefined) {
      return;
    }
    this.#runningIndexes.delete(task.taskId);
    this.#runs[index] = {
      ...run,
      endedMs: this.#originMs + endedMs,
      reason: end.reason,
    };
  }
}
