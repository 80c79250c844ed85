import { JobKind } from "@mustardweir/model";
import { createFleet } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;
const INSTANCES = 12;
const WAITING = 12;
const OBSERVED_MS = 10_000;

/**
 * Fills three zones, lets tasks wait for room and empties one zone: how long
 * each of those tasks waits from then on, in milliseconds.
 */
export function runRebalanceTrial(seed: number): number[] {
  const loopback = new Loopback({
    configuration: createFleet({
      shares: { imaging: 1 },
      instances: INSTANCES,
    }),
    seed,
    schedulers: 3,
  });
  loopback.run(WARM_UP_MS);
  for (let index = 0; index < 3 * INSTANCES; index++) {
    loopback.submit("imaging", whole(1));
  }
  loopback.run(WARM_UP_MS);
  const filling = [...loopback.starts];
  const callId = loopback.submit("imaging", whole(WAITING));
  loopback.run(1_000);
  const emptiedAt = loopback.now;
  for (const { instanceId, task } of filling) {
    if (instanceId.startsWith("z0-")) {
      loopback.cancel("imaging", task.jobId);
    }
  }
  loopback.run(OBSERVED_MS);
  const jobId = loopback.jobIdOf(callId);
  const starts = loopback.starts.filter(({ task }) => task.jobId === jobId);
  return Array.from(
    { length: WAITING },
    (_, index) => (starts[index]?.at ?? Infinity) - emptiedAt,
  );
}

/** Tasks that each take a whole instance. */
function whole(tasks: number) {
  const payload = JSON.stringify({ runMs: 3_600_000 });
  return { kind: JobKind.Batch, cpu: 16, memoryMb: 512, tasks, payload };
}
