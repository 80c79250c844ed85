/** Decides what tasks do: their real run time, usage and end. */
import { Random } from "@mustardweir/kernel";
import { JobKind } from "@mustardweir/model";
import type { TaskSpec, TaskUsage } from "@mustardweir/protocol";
import { z } from "zod";

const DEFAULT_RUN_MS = 1_000;

/** What a task is going to do. */
export interface TaskPlan {
  /** Run time at full speed; infinite when it runs until it is stopped. */
  readonly runMs: number;
  readonly usage: TaskUsage;
  readonly fails: boolean;
  readonly answer?: string;
}

/** Decides what a task does when it is started. */
export abstract class TaskModel {
  /** How `task` will go. */
  abstract plan(task: TaskSpec): TaskPlan;
}

/** How far simulated tasks are off what they declare. */
export interface PayloadTaskModelOptions {
  /** Seed of the run times; 1 by default. */
  readonly seed?: number;
  /**
   * Real run times are between the declared one divided and multiplied by
   * this; 1, exact, by default.
   */
  readonly durationError?: number;
  /** Real memory over declared memory; 1 by default. */
  readonly memoryFactor?: number;
}

const instructionsSchema = z.object({
  runMs: z.number().nonnegative().optional(),
  usage: z.object({
    cpuMillis: z.number().nonnegative().optional(),
    memoryMb: z.number().nonnegative().optional(),
  }).optional(),
  fail: z.boolean().optional(),
  answer: z.string().optional(),
});

type Instructions = z.infer<typeof instructionsSchema>;

/**
 * Takes instructions from a task's payload, such as
 * `{"runMs": 50, "usage": {"memoryMb": 900}, "fail": true}`, and derives the
 * rest from what the task declares.
 *
 * @example
 * ```ts
 * const model = new PayloadTaskModel({ seed: 7, durationError: 3 });
 * ```
 */
export class PayloadTaskModel extends TaskModel {
  readonly #random: Random;
  readonly #durationError: number;
  readonly #memoryFactor: number;

  constructor(options: PayloadTaskModelOptions = {}) {
    super();
    this.#random = new Random(options.seed ?? 1);
    this.#durationError = options.durationError ?? 1;
    this.#memoryFactor = options.memoryFactor ?? 1;
  }

  override plan(task: TaskSpec): TaskPlan {
    const given = parseInstructions(task.payload);
    const fails = given.fail ?? false;
    const usage = {
      cpuMillis: given.usage?.cpuMillis ?? task.size.cpuMillis,
      memoryMb: given.usage?.memoryMb ??
        Math.round(task.size.memoryMb * this.#memoryFactor),
    };
    const plan = { runMs: this.#runMs(task, given), usage, fails };
    return task.kind === JobKind.Request
      ? { ...plan, answer: given.answer ?? task.payload }
      : plan;
  }

  #runMs(task: TaskSpec, given: Instructions): number {
    if (task.kind === JobKind.Service && given.fail !== true) {
      return Infinity;
    }
    if (given.runMs !== undefined) {
      return given.runMs;
    }
    const exponent = 2 * this.#random.fraction() - 1;
    const factor = this.#durationError ** exponent;
    return (task.durationMs ?? DEFAULT_RUN_MS) * factor;
  }
}

function parseInstructions(payload: string): Instructions {
  try {
    return instructionsSchema.safeParse(JSON.parse(payload)).data ?? {};
  } catch {
    return {};
  }
}
