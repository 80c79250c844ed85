import { EndReason } from "@mustardweir/model";
import type { TaskEnd, TaskSpec, TaskUsage } from "@mustardweir/protocol";
import type { TaskPlan } from "./task_model.ts";

const NO_USAGE: TaskUsage = { cpuMillis: 0, memoryMb: 0 };

/** The task to run, with its plan and start time. */
export interface TaskRunOptions {
  readonly sliceId: string;
  readonly task: TaskSpec;
  readonly plan: TaskPlan;
  readonly startedMs: number;
}

/** A running task, with its progress, speed and resource usage. */
export class TaskRun {
  readonly sliceId: string;
  readonly task: TaskSpec;
  readonly startedMs: number;
  readonly #plan: TaskPlan;
  #usage: TaskUsage;
  #previousUsage = NO_USAGE;
  #usageSinceMs: number;
  #speed = 1;
  #progressMs: number;
  #progressAtMs: number;

  constructor(options: TaskRunOptions) {
    this.sliceId = options.sliceId;
    this.task = options.task;
    this.startedMs = options.startedMs;
    this.#plan = options.plan;
    this.#usage = options.plan.usage;
    this.#usageSinceMs = options.startedMs;
    this.#progressMs = parseCheckpoint(options.task.checkpoint);
    this.#progressAtMs = options.startedMs;
  }

  /** The current actual usage. */
  get usage(): TaskUsage {
    return this.#usage;
  }

  /** When the run time ends; `Infinity` if the task runs until stopped. */
  get endsAtMs(): number {
    const leftMs = this.#plan.runMs - this.#progressMs;
    return leftMs <= 0
      ? this.#progressAtMs
      : this.#progressAtMs + leftMs / this.#speed;
  }

  /** Returns the usage `lagMs` before `now`, from the last two values. */
  laggedUsage(now: number, lagMs: number): TaskUsage {
    return now - lagMs >= this.#usageSinceMs
      ? this.#usage
      : this.#previousUsage;
  }

  /** Limits processor time; progress slows down proportionally. */
  throttle(cpuMillis: number, now: number): void {
    const wanted = this.#plan.usage.cpuMillis;
    const granted = Math.min(wanted, cpuMillis);
    if (granted === this.#usage.cpuMillis) {
      return;
    }
    this.#progressMs = this.#progressMsAt(now);
    this.#progressAtMs = now;
    this.#speed = granted / wanted;
    this.#previousUsage = this.#usage;
    this.#usage = { ...this.#usage, cpuMillis: granted };
    this.#usageSinceMs = now;
  }

  /** Returns how the task ends when its run time is over. */
  finish(): TaskEnd {
    if (this.#plan.fails) {
      return {
        reason: EndReason.Failed,
        message: `Task ${this.task.taskId} failed`,
      };
    }
    return this.#plan.answer === undefined
      ? { reason: EndReason.Completed }
      : { reason: EndReason.Completed, answer: this.#plan.answer };
  }

  /** Returns the completed run time, in milliseconds, to resume from. */
  checkpoint(now: number): string {
    return String(this.#progressMsAt(now));
  }

  #progressMsAt(now: number): number {
    return this.#progressMs + (now - this.#progressAtMs) * this.#speed;
  }
}

function parseCheckpoint(checkpoint: string | undefined): number {
  const progressMs = Number(checkpoint ?? 0);
  return Number.isFinite(progressMs) ? Math.max(progressMs, 0) : 0;
}
