/** Faults that can be injected into the platform, alone or combined. */
import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "@mustardweir/kernel";
import * as z from "zod";
import {
  jsonResponse,
  type PlatformRequest,
  RequestKind,
  type RequestOutcome,
  RequestOutcomeKind,
} from "./call.ts";

/** Largest delay that Node.js timers support, in milliseconds. */
export const MAX_DELAY_MS = 2 ** 31 - 1;

const DELAY_MS_SCHEMA = z.int().min(0).max(MAX_DELAY_MS);
const FRACTION_SCHEMA = z.number().min(0).max(1);

/** Schema of the fault settings; by default no fault is active. */
export const FAULT_SETTINGS = z.strictObject({
  /** Delay of each response, in milliseconds. */
  slowMs: DELAY_MS_SCHEMA.default(0),
  /** Whether every request is refused before it takes effect. */
  down: z.boolean().default(false),
  /** Whether requests neither take effect nor get a response. */
  silent: z.boolean().default(false),
  /** Fraction of writes whose response is lost after they took effect. */
  loseAnswers: FRACTION_SCHEMA.default(0),
  /** Fraction of writes that take effect `lateMs` later, without a response. */
  lateWrites: FRACTION_SCHEMA.default(0),
  /** Delay of the late writes, in milliseconds. */
  lateMs: DELAY_MS_SCHEMA.default(1_000),
});

/** The active faults and their parameters. */
export type FaultSettings = z.infer<typeof FAULT_SETTINGS>;

/** Applies the remaining faults to the request, then executes it. */
export type Next = () => Promise<RequestOutcome>;

/** Changes when a request takes effect, or what its client observes. */
export abstract class Fault {
  /** Executes `request` by calling `next`, or replaces its outcome. */
  abstract intercept(
    request: PlatformRequest,
    next: Next,
  ): Promise<RequestOutcome>;
}

/** Delays each response. */
export class SlowFault extends Fault {
  readonly #delayMs: number;

  constructor(delayMs: number) {
    super();
    this.#delayMs = delayMs;
  }

  override async intercept(
    _request: PlatformRequest,
    next: Next,
  ): Promise<RequestOutcome> {
    const outcome = await next();
    await delay(this.#delayMs, undefined, { ref: false });
    return outcome;
  }
}

/** Neither executes requests nor responds to them. */
export class SilentFault extends Fault {
  override intercept(): Promise<RequestOutcome> {
    return Promise.resolve({ kind: RequestOutcomeKind.Silent });
  }
}

/** Refuses requests before they take effect. */
export class DownFault extends Fault {
  override intercept(): Promise<RequestOutcome> {
    const answer = jsonResponse(503, { error: "Platform is down" });
    return Promise.resolve({ kind: RequestOutcomeKind.Answered, answer });
  }
}

/** How often a fault affects writes. */
export interface WriteFaultOptions {
  /** Fraction of affected writes, from 0 to 1. */
  readonly fraction: number;
  readonly random: Random;
}

/** Affects a random fraction of the writes and no reads. */
abstract class WriteFault extends Fault {
  readonly #options: WriteFaultOptions;

  constructor(options: WriteFaultOptions) {
    super();
    this.#options = options;
  }

  override intercept(
    request: PlatformRequest,
    next: Next,
  ): Promise<RequestOutcome> {
    const { fraction, random } = this.#options;
    const isAffected = request.kind === RequestKind.Write &&
      random.fraction() < fraction;
    return isAffected ? this.inject(next) : next();
  }

  protected abstract inject(next: Next): Promise<RequestOutcome>;
}

/** Drops the response to a write after it took effect. */
export class LoseAnswersFault extends WriteFault {
  protected override async inject(next: Next): Promise<RequestOutcome> {
    await next();
    return { kind: RequestOutcomeKind.Disconnected };
  }
}

/** The fraction of late writes and their delay. */
export interface LateWritesOptions extends WriteFaultOptions {
  readonly delayMs: number;
}

/** Disconnects the client, and executes its write after a delay. */
export class LateWritesFault extends WriteFault {
  readonly #delayMs: number;

  constructor(options: LateWritesOptions) {
    super(options);
    this.#delayMs = options.delayMs;
  }

  protected override inject(next: Next): Promise<RequestOutcome> {
    setTimeout(() => void next(), this.#delayMs).unref();
    return Promise.resolve({ kind: RequestOutcomeKind.Disconnected });
  }
}

/**
 * Creates the active faults, in the order in which they are applied.
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
 * Applies `faults` in their order to `request` and executes it.
 *
 * @example
 * ```ts
 * const outcome = await runRequest(request, createFaults(settings, random));
 * ```
 */
export function runRequest(
  request: PlatformRequest,
  faults: readonly Fault[],
): Promise<RequestOutcome> {
  const [fault, ...rest] = faults;
  if (fault === undefined) {
    return Promise.resolve({
      kind: RequestOutcomeKind.Answered,
      answer: request.apply(),
    });
  }
  return fault.intercept(request, () => runRequest(request, rest));
}
