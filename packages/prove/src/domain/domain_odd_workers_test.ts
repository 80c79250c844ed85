import { NO_RESOURCES, type Resources, WorkerState } from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

/** Time in which the jobs must have run, in milliseconds. */
const DEADLINE_MS = 6_000;
const RUN_MS = 300;
const PAYLOAD = createTaskPayload({ runMs: RUN_MS, failures: 0 });

interface CapacityCase {
  readonly name: string;
  /** Capacity of the odd workers. */
  readonly capacity: Resources;
  /** Size of the tasks of a job that only they have room for. */
  readonly largeSize: Resources;
}

const CASES: readonly CapacityCase[] = [
  {
    name: "processors whose sum is no finite number",
    capacity: { ...NO_RESOURCES, cpuMillis: 1e308, memoryMb: 8_000 },
    largeSize: { ...NO_RESOURCES, cpuMillis: 1e308 },
  },
  {
    name: "memory whose sum is no finite number",
    capacity: { ...NO_RESOURCES, cpuMillis: 4_000, memoryMb: 1e308 },
    largeSize: { ...NO_RESOURCES, memoryMb: 1e308 },
  },
];

describe("workers with too large a capacity", () => {
  for (const { name, capacity, largeSize } of CASES) {
    it(`don't keep a placement pass from ending: ${name}`, () => {
      const cluster = new DomainCluster({ seed: 1, needsPermits: false });
      const { clock, nodeIds, runs } = cluster;
      for (const id of ["w0", "w1"]) {
        cluster.store.setWorker(id, {
          id,
          incarnation: 1,
          pool: "ovens",
          address: `${id}:1`,
          zone: "zone-0",
          state: WorkerState.Ready,
          capacity,
          labels: [],
          rack: "",
        });
      }
      clock.runUntil(WARM_UP_MS);
      const large = stageSpec({ tasks: 2, size: largeSize });
      cluster.submit(
        jobIdOf(0),
        { payload: PAYLOAD, stages: [large] },
        nodeIds[0]!,
      );
      clock.runUntil(clock.now + RUN_MS / 2);
      cluster.submit(
        jobIdOf(1),
        { payload: PAYLOAD, stages: [stageSpec({ tasks: 3 })] },
        nodeIds[1]!,
      );
      clock.runUntil(clock.now + DEADLINE_MS);
      const started = (jobId: string) =>
        runs.filter(({ task }) => task.startsWith(jobId)).length;
      expect(started(jobIdOf(0))).to.equal(2);
      expect(started(jobIdOf(1))).to.equal(3);
    });
  }
});
