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

/** How long submitters go on after the load has ended, in milliseconds. */
const SETTLE_MS = 60_000;

/** One of this many jobs is not submitted again after "not run". */
const TAKES_REFUSAL_EVERY = 4;

/** Run times spread around the declared one by up to this factor. */
const DURATION_SPREAD = 2;

/** Characters that an answer is filled up with. */
const ANSWER_FILL = "x".repeat(600);

/** A kind of work of the load. */
interface Shape {
  readonly team: Team;
  readonly kind: JobKind;
  /** How often it comes, relative to the others. */
  readonly weight: number;
  readonly cpu: number;
  readonly accelerators?: number;
  readonly tasks?: number;
  readonly durationMs: number;
  readonly once?: boolean;
  readonly urgent?: boolean;
}

const { Request, Batch, Gang } = JobKind;

const SHAPES: readonly Shape[] = [
  { team: Team.Alerts, kind: Request, weight: 8, cpu: 1, durationMs: 50 },
  {
    team: Team.Alerts,
    kind: Request,
    weight: 2,
    cpu: 1,
    durationMs: 50,
    urgent: true,
    once: true,
  },
  {
    team: Team.Orders,
    kind: Request,
    weight: 6,
    cpu: 1,
    durationMs: 80,
    once: true,
  },
  {
    team: Team.Ledger,
    kind: Batch,
    weight: 3,
    cpu: 1,
    durationMs: 250,
    once: true,
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
 * What a worker answers when it has run the request.
 *
 * @example
 * ```ts
 * expect(status.answer).to.equal(expectedAnswer(job));
 * ```
 */
export function expectedAnswer({ idempotencyKey }: DemoJob): string {
  return `${idempotencyKey} ${ANSWER_FILL}`;
}

/** Where the load is submitted, and its seed. */
export interface LoadOptions extends Omit<SubmitterOptions, "giveUpAt"> {
  readonly seed: number;
}

/** Submits jobs without pause and follows each to its end. */
export class Load {
  readonly submitter: Submitter;
  readonly #random: Random;
  readonly #work: Promise<void>[] = [];
  #giveUpAt = Infinity;
  #isOn = false;
  #submitting: Promise<void> = Promise.resolve();

  constructor({ seed, ...options }: LoadOptions) {
    this.#random = new Random(seed);
    this.submitter = new Submitter({
      ...options,
      giveUpAt: () => this.#giveUpAt,
    });
  }

  start(): void {
    this.#isOn = true;
    this.#submitting = this.#submitJobs();
  }

  /** Submits a job besides the others; the promise ends with the job. */
  add(job: DemoJob): Promise<void> {
    const work = this.submitter.run(job);
    this.#work.push(work);
    return work;
  }

  /** Submits no more and waits until every job has ended. */
  async finish(): Promise<void> {
    this.#isOn = false;
    this.#giveUpAt = Date.now() + SETTLE_MS;
    await this.#submitting;
    await Promise.all(this.#work);
  }

  /** Submits no more and waits for nothing. */
  abandon(): void {
    this.#isOn = false;
    this.#giveUpAt = -Infinity;
  }

  async #submitJobs(): Promise<void> {
    for (let index = 0; this.#isOn; index++) {
      void this.add(makeJob(pickShape(this.#random), {
        random: this.#random,
        index,
      }));
      await delay(2 * MEAN_INTERVAL_MS * this.#random.fraction());
    }
  }
}

function pickShape(random: Random): Shape {
  const total = SHAPES.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.below(total);
  const picked = SHAPES.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return picked ?? SHAPES[0]!;
}

interface MakeJobOptions {
  readonly random: Random;
  readonly index: number;
}

function makeJob(shape: Shape, { random, index }: MakeJobOptions): DemoJob {
  const spread = DURATION_SPREAD ** (2 * random.fraction() - 1);
  const runMs = Math.round(shape.durationMs * spread);
  return {
    ...describeJob(shape, { name: `${index}`, runMs }),
    takesRefusal: index % TAKES_REFUSAL_EVERY === 0,
  };
}

/** A request that runs for a given time. */
export interface RequestOptions {
  readonly name: string;
  readonly runMs: number;
  /** True by default. */
  readonly idempotent?: boolean;
}

/**
 * A request of the orders' team that runs for a given time.
 *
 * @example
 * ```ts
 * const job = makeRequest({ name: "late", runMs: 500 });
 * ```
 */
export function makeRequest(options: RequestOptions): DemoJob {
  const { name, runMs, idempotent = true } = options;
  const shape: Shape = {
    team: Team.Orders,
    kind: Request,
    weight: 0,
    cpu: 1,
    durationMs: runMs,
    once: !idempotent,
  };
  return describeJob(shape, { name, runMs });
}

/**
 * Tasks that run for longer than a lease lasts.
 *
 * @example
 * ```ts
 * await trial.load.add(makeLongBatch());
 * ```
 */
export function makeLongBatch(): DemoJob {
  const runMs = 10_000;
  const shape: Shape = {
    team: Team.Ovens,
    kind: Batch,
    weight: 0,
    cpu: 1,
    tasks: 6,
    durationMs: runMs,
  };
  return describeJob(shape, { name: "long", runMs });
}

function describeJob(
  shape: Shape,
  { name, runMs }: { readonly name: string; readonly runMs: number },
): DemoJob {
  const idempotencyKey = `${shape.kind}-${name}`;
  const answer = `${idempotencyKey} ${ANSWER_FILL}`;
  return {
    atMs: 0,
    team: shape.team,
    idempotencyKey,
    spec: {
      kind: shape.kind,
      name: shape.kind,
      cpu: shape.cpu,
      memoryMb: 1_024,
      accelerators: shape.accelerators ?? 0,
      tasks: shape.tasks ?? 1,
      priority: shape.urgent ? Priority.Urgent : Priority.Normal,
      idempotent: shape.once !== true,
      durationMs: shape.durationMs,
      payload: JSON.stringify({ runMs, answer }),
    },
  };
}
