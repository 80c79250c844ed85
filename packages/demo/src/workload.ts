import { Random } from "@mustardweir/kernel";
import { JobKind, Priority } from "@mustardweir/model";
import { FleetName } from "./fleet_file.ts";

/** A job that the demo submits. */
export interface DemoJob {
  /** When it is submitted, in milliseconds from the start of the load. */
  readonly atMs: number;
  readonly team: string;
  readonly idempotencyKey: string;
  /** Not submitted again after a refusal that says "not run". */
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

/** How often a shape of work comes and what it looks like. */
interface Shape {
  readonly team: string;
  readonly kind: JobKind;
  readonly name: string;
  /** Jobs in the whole load. */
  readonly count: number;
  readonly cpu: number;
  readonly memoryMb: number;
  readonly accelerators?: number;
  readonly tasks?: number;
  readonly durationMs: number;
  readonly urgent?: boolean;
  readonly once?: boolean;
}

const { Service, Batch, Gang, Request } = JobKind;

const SHAPES: Readonly<Record<FleetName, readonly Shape[]>> = {
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
      once: true,
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
      once: true,
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
      once: true,
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
      once: true,
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

/** Run times spread around the declared one by up to this factor. */
const DURATION_SPREAD = 3;

/** Which fleet the workload is for, and over which time it comes. */
export interface WorkloadOptions {
  readonly fleet: FleetName;
  /** Time over which the jobs come, in milliseconds. */
  readonly spanMs: number;
  readonly seed: number;
}

/** A day's mix of work, pressed into `spanMs`; the same for the same seed. */
export function makeWorkload(options: WorkloadOptions): DemoJob[] {
  const random = new Random(options.seed);
  const jobs = SHAPES[options.fleet].flatMap((shape) =>
    Array.from(
      { length: shape.count },
      (_, index) => makeJob(shape, { index, random, spanMs: options.spanMs }),
    )
  );
  return jobs.sort((a, b) => a.atMs - b.atMs);
}

interface MakeJobOptions {
  readonly index: number;
  readonly random: Random;
  readonly spanMs: number;
}

function makeJob(shape: Shape, options: MakeJobOptions): DemoJob {
  const { index, random, spanMs } = options;
  const spread = DURATION_SPREAD ** (2 * random.fraction() - 1);
  const isService = shape.kind === JobKind.Service;
  const runMs = Math.round(shape.durationMs * spread);
  const instructions = isService ? {} : { runMs, answer: `${index}` };
  return {
    atMs: isService ? 0 : random.below(spanMs),
    team: shape.team,
    idempotencyKey: `${shape.team}-${shape.name}-${index}`,
    spec: {
      kind: shape.kind,
      name: shape.name,
      cpu: shape.cpu,
      memoryMb: shape.memoryMb,
      accelerators: shape.accelerators ?? 0,
      tasks: shape.tasks ?? 1,
      priority: shape.urgent ? Priority.Urgent : Priority.Normal,
      idempotent: !shape.once,
      durationMs: shape.durationMs,
      payload: JSON.stringify(instructions),
    },
  };
}
