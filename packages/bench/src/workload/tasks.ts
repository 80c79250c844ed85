import type { Random } from "@mustardweir/kernel";
import { JobKind, type Resources } from "@mustardweir/model";
import { exponential, logNormal, oneOf } from "./distributions.ts";

/** A task of the workload; the scheduler sees only declared values. */
export interface WorkloadTask {
  readonly kind: JobKind;
  /** Declared by the submitter. */
  readonly size: Resources;
  /** Actual use. */
  readonly usedCpuMillis: number;
  readonly usedMemoryMb: number;
  /** Run time declared by the submitter, in milliseconds. */
  readonly declaredMs: number;
  /** Actual run time, in milliseconds. */
  readonly durationMs: number;
}

/** Probability of each kind of task; the rest are plain batch tasks. */
const SERVICE_ODDS = 0.08;
const REQUEST_ODDS = 0.2;
const ACCELERATED_ODDS = 0.12;

const GB = 1024;
const MINUTE_MS = 60_000;
/** Declared and actual values differ by a factor of about 3, either way. */
const DECLARED_SIGMA = Math.log(3);

/** Draws a task with heavy-tailed size and run time. */
export function drawTask(random: Random): WorkloadTask {
  const odds = random.fraction();
  if (odds < SERVICE_ODDS) {
    return drawService(random);
  }
  if (odds < SERVICE_ODDS + REQUEST_ODDS) {
    return drawRequest(random);
  }
  if (odds < SERVICE_ODDS + REQUEST_ODDS + ACCELERATED_ODDS) {
    return drawAccelerated(random);
  }
  return drawBatch(random);
}

/** The drawn kind, size and run time of a task. */
interface DrawnTask {
  readonly kind: JobKind;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators?: number;
  readonly durationMs: number;
}

function drawService(random: Random): WorkloadTask {
  return declare(random, {
    kind: JobKind.Service,
    cores: logNormal(random, { median: 4, sigma: 0.7, min: 0.5, max: 16 }),
    memoryMb: logNormal(random, { median: 12, sigma: 0.8, max: 60 }) * GB,
    durationMs: exponential(random, 1 / (40 * MINUTE_MS)),
  });
}

function drawRequest(random: Random): WorkloadTask {
  return declare(random, {
    kind: JobKind.Request,
    cores: logNormal(random, { median: 0.5, sigma: 0.6, min: 0.1, max: 4 }),
    memoryMb: logNormal(random, { median: 1, sigma: 0.7, max: 8 }) * GB,
    durationMs: logNormal(random, { median: MINUTE_MS, sigma: 1 }),
  });
}

function drawBatch(random: Random): WorkloadTask {
  const cores = logNormal(random, { median: 5, sigma: 1, min: 0.5, max: 60 });
  const memoryPerCore = logNormal(random, { median: 3, sigma: 0.6 });
  return declare(random, {
    kind: JobKind.Batch,
    cores,
    memoryMb: cores * memoryPerCore * GB,
    durationMs: drawRunTime(random),
  });
}

function drawAccelerated(random: Random): WorkloadTask {
  const accelerators = oneOf(random, [1, 1, 1, 2, 2, 4, 8]);
  const cores = accelerators * logNormal(random, { median: 2.5, sigma: 0.4 });
  return declare(random, {
    kind: JobKind.Batch,
    cores,
    memoryMb: accelerators * logNormal(random, { median: 6, sigma: 0.3 }) * GB,
    accelerators,
    durationMs: drawRunTime(random),
  });
}

function drawRunTime(random: Random): number {
  return logNormal(random, {
    median: 4 * MINUTE_MS,
    sigma: 1.2,
    max: 120 * MINUTE_MS,
  });
}

/** Maximum size that a task declares, so that every task fits somewhere. */
const MAX_PLAIN = { cores: 64, memoryMb: 200 * GB };
const MAX_ACCELERATED = { cores: 32, memoryMb: 64 * GB };

function declare(random: Random, drawn: DrawnTask): WorkloadTask {
  const accelerators = drawn.accelerators ?? 0;
  const max = accelerators > 0 ? MAX_ACCELERATED : MAX_PLAIN;
  const errorFactor = logNormal(random, {
    median: 1,
    sigma: DECLARED_SIGMA,
    min: 0.1,
    max: 10,
  });
  return {
    kind: drawn.kind,
    size: {
      cpuMillis: Math.ceil(Math.min(max.cores, drawn.cores) * 1000),
      memoryMb: Math.ceil(Math.min(max.memoryMb, drawn.memoryMb)),
      accelerators,
      slots: 1,
    },
    usedCpuMillis: drawn.cores * 1000 * errorFactor,
    usedMemoryMb: drawn.memoryMb * errorFactor,
    declaredMs: drawn.durationMs * errorFactor,
    durationMs: drawn.durationMs,
  };
}
