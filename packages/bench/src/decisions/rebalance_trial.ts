import { JobKind } from "@mustardweir/model";
import { createFleetConfiguration } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;
const INSTANCES = 12;
const WAITING_TASKS = 12;
const OBSERVATION_MS = 10_000;

/**
 * Fills three zones, submits tasks that have to wait and then cancels the work
 * of one zone. Returns the time from then to the start of each waiting task, in
 * milliseconds; Infinity for tasks that didn't start.
 */
export function runRebalanceTrial(seed: number): number[] {
  const loopback = new Loopback({
    configuration: createFleetConfiguration({
      shares: { imaging: 1 },
      instances: INSTANCES,
    }),
    seed,
    schedulers: 3,
  });
  loopback.run(WARM_UP_MS);
  for (let index = 0; index < 3 * INSTANCES; index++) {
    loopback.submit("imaging", wholeInstanceBatch(1));
  }
  loopback.run(WARM_UP_MS);
  const fillingStarts = [...loopback.starts];
  const callId = loopback.submit("imaging", wholeInstanceBatch(WAITING_TASKS));
  loopback.run(1_000);
  const emptiedAt = loopback.now;
  for (const { instanceId, task } of fillingStarts) {
    if (instanceId.startsWith("z0-")) {
      loopback.cancel("imaging", task.jobId);
    }
  }
  loopback.run(OBSERVATION_MS);
  const jobId = loopback.jobIdOf(callId);
  const starts = loopback.starts.filter(({ task }) => task.jobId === jobId);
  return Array.from(
    { length: WAITING_TASKS },
    (_, index) => (starts[index]?.at ?? Infinity) - emptiedAt,
  );
}

/** Returns a batch whose tasks each take all cores of an instance. */
function wholeInstanceBatch(tasks: number) {
  const payload = JSON.stringify({ runMs: 3_600_000 });
  return { kind: JobKind.Batch, cpu: 16, memoryMb: 512, tasks, payload };
}
