import { setTimeout as delay } from "node:timers/promises";
import {
  type DemoJob,
  Submitter,
  type SubmitterOptions,
} from "@mustardweir/demo";
import { Random } from "@mustardweir/kernel";
import { JobKind, Priority } from "@mustardweir/model";
import { Team } from "./fleet.ts";

/** Mean time between two jobs, in milliseconds. */
const MEAN_INTERVAL_MS = 40;

/** Time for submitted jobs to end once the load has, in milliseconds. */
const COMPLETION_LIMIT_MS = 60_000;

/** One in this many jobs isn't resubmitted after a refusal with "not run". */
const TAKES_REFUSAL_EVERY = 4;

/** Run times deviate from the declared one by up to this factor. */
const DURATION_SPREAD = 2;

/** Padding of each answer. */
const ANSWER_PADDING = "x".repeat(600);

/** A template for jobs of the load. */
interface JobTemplate {
  readonly team: Team;
  readonly kind: JobKind;
  /** Relative frequency among all templates. */
  readonly weight: number;
  readonly cpu: number;
  readonly accelerators?: number;
  readonly tasks?: number;
  readonly durationMs: number;
  readonly nonIdempotent?: boolean;
  readonly urgent?: boolean;
}

const { Request, Batch, Gang } = JobKind;

const TEMPLATES: readonly JobTemplate[] = [
  { team: Team.Alerts, kind: Request, weight: 8, cpu: 1, durationMs: 50 },
  {
    team: Team.Alerts,
    kind: Request,
    weight: 2,
    cpu: 1,
    durationMs: 50,
    urgent: true,
    nonIdempotent: true,
  },
  {
    team: Team.Orders,
    kind: Request,
    weight: 6,
    cpu: 1,
    durationMs: 80,
    nonIdempotent: true,
  },
  {
    team: Team.Ledger,
    kind: Batch,
    weight: 3,
    cpu: 1,
    durationMs: 250,
    nonIdempotent: true,
  },
  {
    team: Team.Ovens,
    kind: Batch,
    weight: 3,
    cpu: 4,
    tasks: 3,
    durationMs: 500,
  },
  {
    team: Team.Models,
    kind: Gang,
    weight: 3,
    cpu: 2,
    accelerators: 1,
    tasks: 4,
    durationMs: 700,
  },
];

/**
 * Returns the answer that a worker gives to the request once it has run.
 *
 * @example
 * ```ts
 * expect(status.answer).to.equal(expectedAnswer(job));
 * ```
 */
export function expectedAnswer({ idempotencyKey }: DemoJob): string {
  return `${idempotencyKey} ${ANSWER_PADDING}`;
}

/** The entries and keys that the load uses, and its seed. */
export interface LoadOptions extends Omit<SubmitterOptions, "giveUpAt"> {
  readonly seed: number;
}

/** Submits jobs at random intervals and polls each until it has ended. */
export class Load {
  readonly submitter: Submitter;
  readonly #random: Random;
  readonly #completions: Promise<void>[] = [];
  #giveUpAt = Infinity;
  #isSubmitting = false;
  #submitting: Promise<void> = Promise.resolve();

  constructor({ seed, ...options }: LoadOptions) {
    this.#random = new Random(seed);
    this.submitter = new Submitter({
      ...options,
      giveUpAt: () => this.#giveUpAt,
    });
  }

  start(): void {
    this.#isSubmitting = true;
    this.#submitting = this.#submitJobs();
  }

  /** Submits a job in addition to the others; resolves when it has ended. */
  add(job: DemoJob): Promise<void> {
    const completion = this.submitter.run(job);
    this.#completions.push(completion);
    return completion;
  }

  /** Stops submitting and waits until every job has ended. */
  async finish(): Promise<void> {
    this.#isSubmitting = false;
    this.#giveUpAt = Date.now() + COMPLETION_LIMIT_MS;
    await this.#submitting;
    await Promise.all(this.#completions);
  }

  /** Stops submitting and makes submitters give up their unfinished jobs. */
  abandon(): void {
    this.#isSubmitting = false;
    this.#giveUpAt = -Infinity;
  }

  async #submitJobs(): Promise<void> {
    for (let index = 0; this.#isSubmitting; index++) {
      void this.add(drawJob(pickTemplate(this.#random), {
        random: this.#random,
        index,
      }));
      await delay(2 * MEAN_INTERVAL_MS * this.#random.fraction());
    }
  }
}

function pickTemplate(random: Random): JobTemplate {
  const total = TEMPLATES.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random.below(total);
  const picked = TEMPLATES.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return picked ?? TEMPLATES[0]!;
}

interface DrawJobOptions {
  readonly random: Random;
  readonly index: number;
}

function drawJob(
  template: JobTemplate,
  { random, index }: DrawJobOptions,
): DemoJob {
  const spread = DURATION_SPREAD ** (2 * random.fraction() - 1);
  const runMs = Math.round(template.durationMs * spread);
  return {
    ...makeJobFromTemplate(template, { name: `${index}`, runMs }),
    takesRefusal: index % TAKES_REFUSAL_EVERY === 0,
  };
}

/** Name and run time of a request. */
export interface RequestOptions {
  readonly name: string;
  readonly runMs: number;
  /** Whether the request may run more than once; true by default. */
  readonly idempotent?: boolean;
}

/**
 * Returns a request of the team `orders` that runs for the given time.
 *
 * @example
 * ```ts
 * const job = makeRequest({ name: "late", runMs: 500 });
 * ```
 */
export function makeRequest(options: RequestOptions): DemoJob {
  const { name, runMs, idempotent = true } = options;
  const template: JobTemplate = {
    team: Team.Orders,
    kind: Request,
    weight: 0,
    cpu: 1,
    durationMs: runMs,
    nonIdempotent: !idempotent,
  };
  return makeJobFromTemplate(template, { name, runMs });
}

/**
 * Returns a batch whose tasks run longer than the duration of a lease.
 *
 * @example
 * ```ts
 * await trial.load.add(makeLongBatch());
 * ```
 */
export function makeLongBatch(): DemoJob {
  const runMs = 10_000;
  const template: JobTemplate = {
    team: Team.Ovens,
    kind: Batch,
    weight: 0,
    cpu: 1,
    tasks: 6,
    durationMs: runMs,
  };
  return makeJobFromTemplate(template, { name: "long", runMs });
}

function makeJobFromTemplate(
  template: JobTemplate,
  { name, runMs }: { readonly name: string; readonly runMs: number },
): DemoJob {
  const idempotencyKey = `${template.kind}-${name}`;
  const answer = `${idempotencyKey} ${ANSWER_PADDING}`;
  return {
    atMs: 0,
    team: template.team,
    idempotencyKey,
    spec: {
      kind: template.kind,
      name: template.kind,
      cpu: template.cpu,
      memoryMb: 1_024,
      accelerators: template.accelerators ?? 0,
      tasks: template.tasks ?? 1,
      priority: template.urgent ? Priority.Urgent : Priority.Normal,
      idempotent: template.nonIdempotent !== true,
      durationMs: template.durationMs,
      payload: JSON.stringify({ runMs, answer }),
    },
  };
}
