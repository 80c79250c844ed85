import { WorkerState } from "@mustardweir/model";
import { expect } from "chai";
import { DomainCluster, payloadOf, stageSpec } from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { jobIdOf, runScenario, WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];
/** Long enough for jobs to wait for room until after the fault. */
const RUN_MS = 4_000;
/** The wait of a renewal, and a start elsewhere, take no longer. */
const REPLACED_MS = 1_500;

interface RecoveryCase {
  readonly name: string;
  /** Brings the fault about; returns when it strikes. */
  readonly disturb: (cluster: DomainCluster) => number;
  /** Inherited tasks start within this after the fault, in milliseconds. */
  readonly withinMs: number;
}

/** Half of the time that the platform allows for the loss of all nodes. */
const ALL_LOST_MS = 6_000;

const CASES: readonly RecoveryCase[] = [
  {
    name: "a worker left long before all nodes are killed",
    withinMs: ALL_LOST_MS / 2,
    disturb: (cluster) => {
      cluster.workers.get("w3")!.crash();
      cluster.store.setWorker("w3", undefined);
      return killAllAfter(cluster, 7_000);
    },
  },
  {
    name: "an empty worker leaves just before all nodes are killed",
    withinMs: ALL_LOST_MS / 2,
    disturb: (cluster) => {
      const { workers, store, clock } = cluster;
      const worker = workers.get("w3")!;
      store.setWorker("w3", { ...worker.info, state: WorkerState.Draining });
      clock.after(6_500, () => {
        worker.crash();
        store.setWorker("w3", undefined);
      });
      return killAllAfter(cluster, 7_000);
    },
  },
  {
    name: "a worker fell silent long before all nodes are killed",
    withinMs: ALL_LOST_MS / 2,
    disturb: (cluster) => {
      const { cutFrom } = cluster.workers.get("w3")!.faults;
      cluster.nodeIds.forEach((node) => cutFrom.add(node));
      return killAllAfter(cluster, 7_000);
    },
  },
];

function killAllAfter(cluster: DomainCluster, delayMs: number): number {
  const { clock, nodeIds } = cluster;
  clock.after(delayMs, () => nodeIds.forEach((id) => cluster.kill(id)));
  return clock.now + delayMs;
}

describe("recovery of the domain", () => {
  for (const { name, disturb, withinMs } of CASES) {
    for (const seed of SEEDS) {
      it(`starts inherited tasks soon when ${name}, seed ${seed}`, () => {
        let faultMs = Infinity;
        const cluster = runScenario({
          name,
          runMs: RUN_MS,
          disturb: (disturbed) => {
            faultMs = disturb(disturbed);
          },
        }, { seed });
        expect(findViolations(cluster)).to.deep.equal([]);
        const firstMs = Math.min(
          ...cluster.runs.map(({ startMs }) => startMs)
            .filter((startMs) => startMs > faultMs),
        );
        expect(firstMs - faultMs).to.be.below(withinMs);
      });
    }
  }

  it("starts the tasks of a replaced worker again at once", () => {
    const cluster = new DomainCluster({ seed: 1 });
    const { clock, runs, workers, nodeIds } = cluster;
    clock.runUntil(WARM_UP_MS);
    cluster.submit(jobIdOf(0), {
      payload: payloadOf({ runMs: RUN_MS, failures: 0 }),
      stages: [stageSpec({ tasks: 8 })],
    }, nodeIds[0]!);
    clock.runUntil(clock.now + 1_000);
    const worker = workers.get(runs[0]!.workerId)!;
    const faultMs = clock.now;
    worker.crash();
    worker.faults.isReplaced = true;
    clock.runUntil(faultMs + 2 * RUN_MS);
    const again = runs.filter(({ startMs }) => startMs > faultMs);
    expect(again).not.to.have.length(0);
    expect(Math.max(...again.map(({ startMs }) => startMs)) - faultMs)
      .to.be.below(REPLACED_MS);
  });
});
