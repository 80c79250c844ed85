import type { StoredRecord } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const TASKS = 6;
const RUN_MS = 20_000;
/** Time until all tasks run, in milliseconds. */
const START_MS = 2_000;
const SETTLE_MS = 40_000;

interface SessionCase {
  readonly name: string;
  readonly odd: Readonly<Record<string, unknown>>;
  /** Whether the worker's registration has ended; false by default. */
  readonly isUnregistered?: boolean;
}

const CASES: readonly SessionCase[] = [
  { name: "whose record can be read", odd: {} },
  { name: "whose record has 1e308 ends", odd: { recorded: 1e308 } },
  { name: "whose record has ends of another type", odd: { recorded: "1" } },
  {
    name: "that isn't registered and whose record can be read",
    odd: {},
    isUnregistered: true,
  },
  {
    name: "that isn't registered and whose record has ends of another type",
    odd: { recorded: "1" },
    isUnregistered: true,
  },
];

describe("after all nodes are killed, tasks of a silent worker", () => {
  for (const { name, odd, isUnregistered = false } of CASES) {
    it(`${name} aren't started before its lease is over`, () => {
      const cluster = new DomainCluster({ seed: 1, needsPermits: false });
      const { clock, nodeIds, runs, store, workers } = cluster;
      clock.runUntil(WARM_UP_MS);
      const payload = createTaskPayload({ runMs: RUN_MS, failures: 0 });
      cluster.submit(
        jobIdOf(0),
        { payload, stages: [stageSpec({ tasks: TASKS })] },
        nodeIds[0]!,
      );
      clock.runUntil(clock.now + START_MS);
      const records = store.records as Map<string, StoredRecord>;
      const { workerId } = runs[0]!;
      for (const [id, record] of records) {
        if (record.key === `session/${workerId}`) {
          const value = JSON.stringify({
            ...JSON.parse(record.value!),
            ...odd,
          });
          records.set(id, { ...record, value });
        }
      }
      if (isUnregistered) {
        store.setWorker(workerId, undefined);
      }
      nodeIds.forEach((node) => {
        cluster.kill(node);
        workers.get(workerId)!.faults.unreachableFrom.add(node);
      });
      clock.runUntil(clock.now + SETTLE_MS);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});
