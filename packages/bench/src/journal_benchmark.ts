import { type JournalRecord, JournalRecordKind } from "@mustardweir/journal";
import { EndReason, JobKind, jobSpecSchema } from "@mustardweir/model";
import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import { createFleetConfiguration } from "./loopback/fleet.ts";
import { Loopback } from "./loopback/loopback.ts";
import type { Metric } from "./metric.ts";
import { runJournalTrial } from "./scaling/journal_trial.ts";
import { countTraffic } from "./scaling/traffic.ts";

/** Number of schedulers of the target fleet: six in each of ten regions. */
const SCHEDULERS = 60;
const NODES = 120;

/** Number of homes per scheduler, of 180 teams. */
const HOMES = 3;

/** Task starts per second of the whole fleet, at the peak. */
const PEAK_STARTS = 17_000;
const JOBS_PER_DAY = 100_000;
const MS_PER_DAY = 86_400_000;

/** Latency of a write to the platform's table, in milliseconds. */
const WRITE_MS = 5;
const TRIAL_MS = 10_000;
const LONG_TRIAL_MS = 600_000;
const MS_PER_SECOND = 1_000;
const LARGE_JOB_TASKS = 10_000;

const MAX_WRITES = 300;
const MAX_READS = 1_000;

/**
 * Reads per second of a node: every half second two scans and half a read of
 * the instance list. The benchmark `idle` measures it.
 */
const READS_PER_NODE = 5;

/** Largest row that tables of this kind accept, in bytes. */
const MAX_ROW_BYTES = 400_000;

/** Table writes of homes at the rates of the target fleet. */
export class JournalBenchmark extends Benchmark {
  override readonly name = "journal";

  override run({ seed }: BenchmarkOptions): Metric[] {
    return [
      ...measureEnds(),
      ...measureAcceptances(),
      ...measureLargeJob(seed),
      {
        name: "scans.reads",
        value: NODES * READS_PER_NODE,
        unit: "1/s of all nodes",
        bound: MAX_READS,
      },
    ];
  }
}

/** Assumes that every start is of a batch task, whose end is recorded. */
function measureEnds(): Metric[] {
  const result = runJournalTrial({
    homes: HOMES,
    schedulers: SCHEDULERS,
    writeMs: WRITE_MS,
    forMs: TRIAL_MS,
    recordsPerMs: PEAK_STARTS / SCHEDULERS / MS_PER_SECOND,
    createRecord: (index) => ({
      kind: JournalRecordKind.TaskEnded,
      jobId: `team-${index % HOMES}.0123456789abcdef`,
      taskIndex: index,
      reason: EndReason.Completed,
    }),
  });
  const seconds = TRIAL_MS / MS_PER_SECOND;
  return [
    {
      name: "peak-ends.writes",
      value: SCHEDULERS * result.writes / seconds,
      unit: "1/s of all schedulers",
      bound: MAX_WRITES,
    },
    {
      name: "peak-ends.bytes",
      value: result.bytes / seconds,
      unit: "B/s of a scheduler",
    },
  ];
}

function measureAcceptances(): Metric[] {
  const spec = jobSpecSchema.parse({
    kind: JobKind.Batch,
    cpu: 1,
    memoryMb: 512,
  });
  const result = runJournalTrial({
    homes: HOMES,
    schedulers: SCHEDULERS,
    writeMs: WRITE_MS,
    forMs: LONG_TRIAL_MS,
    recordsPerMs: 2 * JOBS_PER_DAY / SCHEDULERS / MS_PER_DAY,
    createRecord: (index): JournalRecord => ({
      kind: JournalRecordKind.Accepted,
      jobId: `team-${index % HOMES}.0123456789abcdef`,
      spec,
      specHash: "0".repeat(64),
    }),
  });
  return [{
    name: "day-of-jobs.writes",
    value: SCHEDULERS * result.writes * MS_PER_SECOND / LONG_TRIAL_MS,
    unit: "1/s of all schedulers",
    bound: MAX_WRITES,
  }];
}

/** Measures one job of many short tasks, from its acceptance to its end. */
function measureLargeJob(seed: number): Metric[] {
  const loopback = new Loopback({
    configuration: createFleetConfiguration({
      shares: { storefront: 1 },
      instances: 100,
    }),
    seed,
  });
  loopback.run(20_000);
  loopback.submit("storefront", {
    kind: JobKind.Batch,
    cpu: 0.25,
    memoryMb: 128,
    tasks: LARGE_JOB_TASKS,
    payload: JSON.stringify({ runMs: 500 }),
  });
  const traffic = countTraffic(loopback, () => loopback.run(30_000));
  return [
    {
      name: "large-job.writes",
      value: traffic.tableWrites,
      unit: `writes for ${LARGE_JOB_TASKS} tasks`,
    },
    {
      name: "large-job.bytes-a-task",
      value: traffic.tableWriteBytes / LARGE_JOB_TASKS,
      unit: "B",
    },
    {
      name: "large-job.largest-row",
      value: traffic.largestRowBytes,
      unit: "B",
      bound: MAX_ROW_BYTES,
    },
  ];
}

registerBenchmark(new JournalBenchmark());
