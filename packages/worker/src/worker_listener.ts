import type { EndReason } from "@mustardweir/model";
import type { TaskEnd, TaskSpec } from "@mustardweir/protocol";

/** A task that was started on a worker. */
export interface TaskStarted {
  readonly sliceId: string;
  readonly task: TaskSpec;
  /** The worker's time in milliseconds. */
  readonly startedMs: number;
}

/** A task has ended on a worker; times are those of the worker's clock. */
export interface TaskEnded extends TaskStarted {
  readonly endedMs: number;
  readonly end: TaskEnd;
}

/** Told of every start and end on a worker, at the moment it happens. */
export abstract class WorkerListener {
  /** A task has started. */
  abstract taskStarted(event: TaskStarted): void;
  /** A task has ended. */
  abstract taskEnded(event: TaskEnded): void;
}

/** One run of a task, in Unix time. */
export interface RunRecord {
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  readonly startedMs: number;
  readonly endedMs?: number;
  readonly reason?: EndReason;
}

/** Keeps every run there ever was; a restart of the worker loses none. */
export class RunLog extends WorkerListener {
  readonly #originMs: number;
  readonly #runs: RunRecord[] = [];
  readonly #open = new Map<string, number>();

  /** `originMs` is the Unix time at which the worker's time is 0. */
  constructor(originMs: number) {
    super();
    this.#originMs = originMs;
  }

  /** Every run, in order of start. */
  get runs(): readonly RunRecord[] {
    return this.#runs;
  }

  override taskStarted({ task, startedMs }: TaskStarted): void {
    this.#open.set(task.taskId, this.#runs.length);
    this.#runs.push({
      taskId: task.taskId,
      jobId: task.jobId,
      team: task.team,
      startedMs: this.#originMs + startedMs,
    });
  }

  override taskEnded({ task, endedMs, end }: TaskEnded): void {
    const index = this.#open.get(task.taskId);
    const run = index === undefined ? undefined : this.#runs[index];
    if (index === undefined || run === undefined) {
      return;
    }
    this.#open.delete(task.taskId);
    this.#runs[index] = {
      ...run,
      endedMs: this.#originMs + endedMs,
      reason: end.reason,
    };
  }
}
