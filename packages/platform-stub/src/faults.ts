/** Faults of the platform, switched on one by one or together. */
import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "@mustardweir/kernel";
import { z } from "zod";
import {
  type Call,
  CallKind,
  jsonAnswer,
  type Outcome,
  OutcomeKind,
} from "./call.ts";

/** Largest delay that timers can hold, in milliseconds. */
export const MAX_DELAY_MS = 2 ** 31 - 1;

const DELAY_MS = z.int().min(0).max(MAX_DELAY_MS);
const FRACTION = z.number().min(0).max(1);

/** Which faults are on; a field that is left out is off. */
export const FAULT_SETTINGS = z.strictObject({
  /** Delay of each answer, in milliseconds. */
  slowMs: DELAY_MS.default(0),
  /** Every call is refused before it takes effect. */
  down: z.boolean().default(false),
  /** No call is answered or takes effect. */
  silent: z.boolean().default(false),
  /** Fraction of writes whose answer is lost after they took effect. */
  loseAnswers: FRACTION.default(0),
  /** Fraction of writes that take effect `lateMs` later, unanswered. */
  lateWrites: FRACTION.default(0),
  /** In milliseconds. */
  lateMs: DELAY_MS.default(1_000),
});

/** Which faults are on, and how strong. */
export type FaultSettings = z.infer<typeof FAULT_SETTINGS>;

/** Passes a call on to the faults that follow and then to its effect. */
export type Next = () => Promise<Outcome>;

/** Changes when a call takes effect or what its caller gets to see. */
export abstract class Fault {
  /** Carries out `call` by `next`, or does something else. */
  abstract intercept(call: Call, next: Next): Promise<Outcome>;
}

/** Delays each answer. */
export class SlowFault extends Fault {
  readonly #delayMs: number;

  constructor(delayMs: number) {
    super();
    this.#delayMs = delayMs;
  }

  override async intercept(_call: Call, next: Next): Promise<Outcome> {
    const outcome = await next();
    await delay(this.#delayMs, undefined, { ref: false });
    return outcome;
  }
}

/** Takes calls without carrying them out or answering them. */
export class SilentFault extends Fault {
  override intercept(): Promise<Outcome> {
    return Promise.resolve({ kind: OutcomeKind.Silent });
  }
}

/** Refuses calls before they take effect. */
export class DownFault extends Fault {
  override intercept(): Promise<Outcome> {
    const answer = jsonAnswer(503, { error: "Platform is down" });
    return Promise.resolve({ kind: OutcomeKind.Answered, answer });
  }
}

/** How often a fault hits. */
export interface ChanceOptions {
  /** Fraction of the writes that are hit, from 0 to 1. */
  readonly fraction: number;
  readonly random: Random;
}

/** Hits a fraction of the writes; reads pass. */
abstract class WriteFault extends Fault {
  readonly #options: ChanceOptions;

  constructor(options: ChanceOptions) {
    super();
    this.#options = options;
  }

  override intercept(call: Call, next: Next): Promise<Outcome> {
    const { fraction, random } = this.#options;
    const hit = call.kind === CallKind.Write && random.fraction() < fraction;
    return hit ? this.hit(next) : next();
  }

  protected abstract hit(next: Next): Promise<Outcome>;
}

/** Loses the answer to a write after it took effect. */
export class LoseAnswersFault extends WriteFault {
  protected override async hit(next: Next): Promise<Outcome> {
    await next();
    return { kind: OutcomeKind.Disconnected };
  }
}

/** How often and how late writes take effect. */
export interface LateOptions extends ChanceOptions {
  readonly delayMs: number;
}

/** Lets a write take effect after its caller was disconnected. */
export class LateWritesFault extends WriteFault {
  readonly #delayMs: number;

  constructor(options: LateOptions) {
    super(options);
    this.#delayMs = options.delayMs;
  }

  protected override hit(next: Next): Promise<Outcome> {
    setTimeout(() => void next(), this.#delayMs).unref();
    return Promise.resolve({ kind: OutcomeKind.Disconnected });
  }
}

/**
 * Creates the faults that are on, in the order in which calls meet them.
 *
 * @example
 * ```ts
 * const settings = FAULT_SETTINGS.parse({ loseAnswers: 0.1 });
 * const faults = createFaults(settings, new Random(1));
 * ```
 */
export function createFaults(
  settings: FaultSettings,
  random: Random,
): readonly Fault[] {
  const { slowMs, silent, down, lateWrites, lateMs, loseAnswers } = settings;
  const late = { fraction: lateWrites, delayMs: lateMs, random };
  return [
    ...(slowMs > 0 ? [new SlowFault(slowMs)] : []),
    ...(silent ? [new SilentFault()] : []),
    ...(down ? [new DownFault()] : []),
    ...(lateWrites > 0 ? [new LateWritesFault(late)] : []),
    ...(loseAnswers > 0
      ? [new LoseAnswersFault({ fraction: loseAnswers, random })]
      : []),
  ];
}

/**
 * Runs `call` through `faults` to its effect.
 *
 * @example
 * ```ts
 * const outcome = await runCall(call, createFaults(settings, random));
 * ```
 */
export function runCall(
  call: Call,
  faults: readonly Fault[],
): Promise<Outcome> {
  const [fault, ...rest] = faults;
  if (fault === undefined) {
    return Promise.resolve({
      kind: OutcomeKind.Answered,
      answer: call.apply(),
    });
  }
  return fault.intercept(call, () => runCall(call, rest));
}
