/** Determines the actual run time, usage and outcome of simulated tasks. */
import { Random } from "@mustardweir/kernel";
import { JobKind } from "@mustardweir/model";
import type { TaskSpec, TaskUsage } from "@mustardweir/protocol";
import * as z from "zod";

const DEFAULT_RUN_MS = 1_000;

/** How a simulated task will run. */
export interface TaskPlan {
  /** Run time at full speed; `Infinity` if it runs until it is stopped. */
  readonly runMs: number;
  readonly usage: TaskUsage;
  readonly fails: boolean;
  readonly answer?: string;
}

/** Plans the run of each task when it is started. */
export abstract class TaskModel {
  /** Returns how `task` will run. */
  abstract plan(task: TaskSpec): TaskPlan;
}

/** How far the simulated tasks deviate from what they declare. */
export interface PayloadTaskModelOptions {
  /** Seed of the run times; 1 by default. */
  readonly seed?: number;
  /**
   * Actual run times lie between the declared one divided by this factor and
   * multiplied by it; 1 (exact) by default.
   */
  readonly durationError?: number;
  /** Ratio of actual to declared memory; 1 by default. */
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
 * Plans tasks by instructions in their payload, such as
 * `{"runMs": 50, "usage": {"memoryMb": 900}, "fail": true}`, and takes
 * the remaining values from what the task declares.
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
    const instructions = parseInstructions(task.payload);
    const fails = instructions.fail ?? false;
    const usage = {
      cpuMillis: instructions.usage?.cpuMillis ?? task.size.cpuMillis,
      memoryMb: instructions.usage?.memoryMb ??
        Math.round(task.size.memoryMb * this.#memoryFactor),
    };
    const plan = { runMs: this.#chooseRunMs(task, instructions), usage, fails };
    return task.kind === JobKind.Request
      ? { ...plan, answer: instructions.answer ?? task.payload }
      : plan;
  }

  #chooseRunMs(task: TaskSpec, instructions: Instructions): number {
    if (task.kind === JobKind.Service && instructions.fail !== true) {
      return Infinity;
    }
    if (instructions.runMs !== undefined) {
      return instructions.runMs;
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
