import { JobKind, Priority } from "@mustardweir/model";
import { createFleet } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;
const INSTANCES = 10;
const ZONES = 3;
const CORES = 16;

/** Urgent jobs, submitted one after another. */
const URGENT_JOBS = 40;
const BETWEEN_MS = 150;
const OBSERVED_MS = 10_000;

/** How long urgent jobs waited, and what that cost others. */
export interface UrgentTrialResult {
  /** From submission to start, in milliseconds; Infinity for jobs that waited. */
  readonly waits: readonly number[];
  /** Tasks that were stopped to make room. */
  readonly preempted: number;
}

/** Submits urgent jobs to a fleet that batch work of others has filled. */
export function runUrgentTrial(seed: number): UrgentTrialResult {
  const loopback = new Loopback({
    configuration: createFleet({
      shares: { imaging: 1, storefront: 1 },
      instances: INSTANCES,
    }),
    seed,
    schedulers: 6,
  });
  loopback.run(WARM_UP_MS);
  loopback.submit("imaging", fullOf(2));
  loopback.submit("storefront", fullOf(2));
  loopback.run(WARM_UP_MS);
  const submittedAt = new Map<string, number>();
  for (let index = 0; index < URGENT_JOBS; index++) {
    submittedAt.set(loopback.submit("storefront", urgent()), loopback.now);
    loopback.run(BETWEEN_MS);
  }
  loopback.run(OBSERVED_MS);
  const waits = [...submittedAt].map(([callId, at]) => {
    const jobId = loopback.jobIdOf(callId);
    const start = loopback.starts.find(({ task }) => task.jobId === jobId);
    return (start?.at ?? Infinity) - at;
  });
  return { waits, preempted: loopback.counter("tasks_ended_preempted") };
}

/** More tasks than the fleet has room for. */
function fullOf(cpu: number) {
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
