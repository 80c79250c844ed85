import { Random } from "@mustardweir/kernel";
import { JobKind, Priority } from "@mustardweir/model";
import { FleetName } from "./fleet_file.ts";

/** A job that the demo submits. */
export interface DemoJob {
  /** When it is submitted, in milliseconds from the start of the load. */
  readonly atMs: number;
  readonly team: string;
  readonly idempotencyKey: string;
  /** Whether a refusal with the outcome "not run" is final, with no retry. */
  readonly takesRefusal?: boolean;
  readonly spec: DemoSpec;
}

/** The body of `POST /v1/jobs` as the demo sends it. */
export interface DemoSpec {
  readonly kind: JobKind;
  readonly name: string;
  readonly cpu: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly tasks: number;
  readonly priority: Priority;
  readonly idempotent: boolean;
  readonly durationMs: number;
  readonly payload: string;
}

/** A kind of job and the number of such jobs. */
interface JobTemplate {
  readonly team: string;
  readonly kind: JobKind;
  readonly name: string;
  /** Number of jobs in the whole load. */
  readonly count: number;
  readonly cpu: number;
  readonly memoryMb: number;
  readonly accelerators?: number;
  readonly tasks?: number;
  readonly durationMs: number;
  readonly urgent?: boolean;
  /** Whether a task must not be repeated. */
  readonly nonIdempotent?: boolean;
}

const { Service, Batch, Gang, Request } = JobKind;

const JOB_TEMPLATES: Readonly<Record<FleetName, readonly JobTemplate[]>> = {
  [FleetName.LoneStar]: [
    {
      team: "storefront",
      kind: Request,
      name: "confirm-order",
      count: 400,
      cpu: 1,
      memoryMb: 512,
      durationMs: 60,
    },
    {
      team: "storefront",
      kind: Request,
      name: "charge-order",
      count: 120,
      cpu: 1,
      memoryMb: 512,
      durationMs: 60,
      nonIdempotent: true,
    },
    {
      team: "storefront",
      kind: Service,
      name: "counter",
      count: 2,
      cpu: 4,
      memoryMb: 8_192,
      tasks: 4,
      durationMs: 60_000,
    },
    {
      team: "pecan-hollow",
      kind: Batch,
      name: "oven-schedule",
      count: 60,
      cpu: 8,
      memoryMb: 16_384,
      tasks: 4,
      durationMs: 1_200,
    },
    {
      team: "red-dirt",
      kind: Batch,
      name: "oven-schedule",
      count: 45,
      cpu: 8,
      memoryMb: 16_384,
      tasks: 4,
      durationMs: 1_200,
    },
    {
      team: "bluebonnet",
      kind: Batch,
      name: "oven-schedule",
      count: 45,
      cpu: 8,
      memoryMb: 16_384,
      tasks: 4,
      durationMs: 1_200,
    },
    {
      team: "imaging",
      kind: Gang,
      name: "read-cards",
      count: 12,
      cpu: 4,
      memoryMb: 8_192,
      accelerators: 4,
      tasks: 4,
      durationMs: 900,
    },
    {
      team: "imaging",
      kind: Batch,
      name: "check-photo",
      count: 60,
      cpu: 2,
      memoryMb: 4_096,
      accelerators: 1,
      durationMs: 400,
    },
    {
      team: "ledger",
      kind: Service,
      name: "ledger-sync",
      count: 3,
      cpu: 1,
      memoryMb: 2_048,
      tasks: 2,
      durationMs: 60_000,
    },
    {
      team: "ledger",
      kind: Batch,
      name: "close-books",
      count: 20,
      cpu: 1,
      memoryMb: 1_024,
      durationMs: 300,
      nonIdempotent: true,
    },
  ],
  [FleetName.Salamavahti]: [
    {
      team: "strike-ingest",
      kind: Request,
      name: "match-strike",
      count: 450,
      cpu: 1,
      memoryMb: 512,
      durationMs: 30,
    },
    {
      team: "strike-ingest",
      kind: Service,
      name: "listener",
      count: 3,
      cpu: 1,
      memoryMb: 1_024,
      tasks: 3,
      durationMs: 60_000,
    },
    {
      team: "grid-alerts",
      kind: Request,
      name: "warn-grid",
      count: 150,
      cpu: 1,
      memoryMb: 512,
      durationMs: 40,
      urgent: true,
      nonIdempotent: true,
    },
    {
      team: "festivals",
      kind: Request,
      name: "warn-stage",
      count: 80,
      cpu: 1,
      memoryMb: 512,
      durationMs: 40,
      urgent: true,
      nonIdempotent: true,
    },
    {
      team: "tracks",
      kind: Batch,
      name: "rebuild-track",
      count: 80,
      cpu: 4,
      memoryMb: 8_192,
      tasks: 3,
      durationMs: 900,
    },
    {
      team: "nowcast",
      kind: Gang,
      name: "cell-motion",
      count: 14,
      cpu: 16,
      memoryMb: 32_768,
      accelerators: 4,
      tasks: 4,
      durationMs: 900,
    },
    {
      team: "nowcast",
      kind: Batch,
      name: "calibrate",
      count: 30,
      cpu: 8,
      memoryMb: 16_384,
      accelerators: 2,
      durationMs: 700,
    },
    {
      team: "sensors",
      kind: Service,
      name: "sensor",
      count: 4,
      cpu: 1,
      memoryMb: 1_024,
      tasks: 2,
      durationMs: 60_000,
    },
    {
      team: "sensors",
      kind: Batch,
      name: "sync",
      count: 30,
      cpu: 1,
      memoryMb: 1_024,
      durationMs: 250,
    },
  ],
};

/** Largest factor between actual and declared run times, up or down. */
const DURATION_SPREAD = 3;

/** The fleet, duration and seed of the workload. */
export interface WorkloadOptions {
  readonly fleet: FleetName;
  /** Time over which jobs are submitted, in milliseconds. */
  readonly spanMs: number;
  readonly seed: number;
}

/**
 * Creates a day's mix of jobs, compressed into `spanMs`. The same seed gives
 * the same jobs.
 */
export function createWorkload(options: WorkloadOptions): DemoJob[] {
  const random = new Random(options.seed);
  const jobs = JOB_TEMPLATES[options.fleet].flatMap((template) =>
    Array.from(
      { length: template.count },
      (_, index) =>
        createJob(template, { index, random, spanMs: options.spanMs }),
    )
  );
  return jobs.sort((a, b) => a.atMs - b.atMs);
}

interface CreateJobOptions {
  readonly index: number;
  readonly random: Random;
  readonly spanMs: number;
}

function createJob(template: JobTemplate, options: CreateJobOptions): DemoJob {
  const { index, random, spanMs } = options;
  const spread = DURATION_SPREAD ** (2 * random.fraction() - 1);
  const isService = template.kind === JobKind.Service;
  const runMs = Math.round(template.durationMs * spread);
  const instructions = isService ? {} : { runMs, answer: `${index}` };
  return {
    atMs: isService ? 0 : random.below(spanMs),
    team: template.team,
    idempotencyKey: `${template.team}-${template.name}-${index}`,
    spec: {
      kind: template.kind,
      name: template.name,
      cpu: template.cpu,
      memoryMb: template.memoryMb,
      accelerators: template.accelerators ?? 0,
      tasks: template.tasks ?? 1,
      priority: template.urgent ? Priority.Urgent : Priority.Normal,
      idempotent: !template.nonIdempotent,
      durationMs: template.durationMs,
      payload: JSON.stringify(instructions),
    },
  };
}
