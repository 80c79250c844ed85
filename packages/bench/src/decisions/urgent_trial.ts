import { JobKind, Priority } from "@mustardweir/model";
import { createFleetConfiguration } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;
const INSTANCES = 10;
const ZONES = 3;
const CORES = 16;

/** Number of urgent jobs, submitted one after another. */
const URGENT_JOBS = 40;
const SUBMIT_INTERVAL_MS = 150;
const OBSERVATION_MS = 10_000;

/** Wait times of urgent jobs, and the number of tasks preempted. */
export interface UrgentTrialResult {
  /** Time from submission to start, in ms; Infinity if a job didn't start. */
  readonly waits: readonly number[];
  /** Number of tasks preempted. */
  readonly preempted: number;
}

/** Submits urgent jobs to a fleet that is full of batch work. */
export function runUrgentTrial(seed: number): UrgentTrialResult {
  const loopback = new Loopback({
    configuration: createFleetConfiguration({
      shares: { imaging: 1, storefront: 1 },
      instances: INSTANCES,
    }),
    seed,
    schedulers: 6,
  });
  loopback.run(WARM_UP_MS);
  loopback.submit("imaging", saturatingBatch(2));
  loopback.submit("storefront", saturatingBatch(2));
  loopback.run(WARM_UP_MS);
  const submittedAt = new Map<string, number>();
  for (let index = 0; index < URGENT_JOBS; index++) {
    submittedAt.set(loopback.submit("storefront", urgent()), loopback.now);
    loopback.run(SUBMIT_INTERVAL_MS);
  }
  loopback.run(OBSERVATION_MS);
  const waits = [...submittedAt].map(([callId, at]) => {
    const jobId = loopback.jobIdOf(callId);
    const start = loopback.starts.find(({ task }) => task.jobId === jobId);
    return (start?.at ?? Infinity) - at;
  });
  return { waits, preempted: loopback.counter("tasks_ended_preempted") };
}

/** Returns a batch of twice as many tasks as the fleet has room for. */
function saturatingBatch(cpu: number) {
  return {
    kind: JobKind.Batch,
    cpu,
    memoryMb: 1_024,
    tasks: 2 * ZONES * INSTANCES * CORES / cpu,
    payload: JSON.stringify({ runMs: 3_600_000 }),
  };
}

function urgent() {
  return {
    kind: JobKind.Batch,
    priority: Priority.Urgent,
    cpu: 4,
    memoryMb: 1_024,
    payload: JSON.stringify({ runMs: 60_000 }),
  };
}
