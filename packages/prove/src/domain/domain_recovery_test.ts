import { WorkerState } from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { JOBS, runDomainScenario, WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];
/** Run time of tasks, so long that some jobs wait until after the fault. */
const RUN_MS = 4_000;
/** Time limit of a waiting renewal plus a start elsewhere, in ms. */
const REPLACEMENT_LIMIT_MS = 1_500;

interface RecoveryCase {
  readonly name: string;
  /** Injects the fault; returns the time at which all nodes are killed. */
  readonly injectFault: (cluster: DomainCluster) => number;
  /** Time limit from the fault to the next start of a task, in ms. */
  readonly withinMs: number;
}

/** Half of the recovery time allowed when all nodes are lost, in ms. */
const RECOVERY_LIMIT_MS = 6_000;

const CASES: readonly RecoveryCase[] = [
  {
    name: "a worker left long before all nodes are killed",
    withinMs: RECOVERY_LIMIT_MS / 2,
    injectFault: (cluster) => {
      cluster.workers.get("w3")!.crash();
      cluster.store.setWorker("w3", undefined);
      return killAllAfter(cluster, 7_000);
    },
  },
  {
    name: "an empty worker leaves just before all nodes are killed",
    withinMs: RECOVERY_LIMIT_MS / 2,
    injectFault: (cluster) => {
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
    name: "a worker became silent long before all nodes are killed",
    withinMs: RECOVERY_LIMIT_MS / 2,
    injectFault: (cluster) => {
      const { unreachableFrom } = cluster.workers.get("w3")!.faults;
      cluster.nodeIds.forEach((node) => unreachableFrom.add(node));
      return killAllAfter(cluster, 7_000);
    },
  },
];

interface LossCase {
  readonly name: string;
  /** Loses a draining worker that still runs a task. */
  readonly loseWorker: (cluster: DomainCluster, workerId: string) => void;
}

const LOSSES: readonly LossCase[] = [
  {
    name: "left",
    loseWorker: ({ workers, store }, workerId) => {
      workers.get(workerId)!.crash();
      store.setWorker(workerId, undefined);
    },
  },
  {
    name: "became silent",
    loseWorker: ({ workers, nodeIds }, workerId) => {
      const { unreachableFrom } = workers.get(workerId)!.faults;
      nodeIds.forEach((node) => unreachableFrom.add(node));
    },
  },
];

/** Run time of the task that the lost worker runs, in milliseconds. */
const LOST_RUN_MS = 20_000;

function killAllAfter(cluster: DomainCluster, delayMs: number): number {
  const { clock, nodeIds } = cluster;
  clock.after(delayMs, () => nodeIds.forEach((id) => cluster.kill(id)));
  return clock.now + delayMs;
}

describe("recovery of the domain", () => {
  for (const { name, injectFault, withinMs } of CASES) {
    for (const seed of SEEDS) {
      it(`starts inherited tasks in time when ${name}, seed ${seed}`, () => {
        let faultMs = Infinity;
        const cluster = runDomainScenario({
          name,
          runMs: RUN_MS,
          injectFault: (running) => {
            faultMs = injectFault(running);
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

  for (const { name, loseWorker } of LOSSES) {
    for (const seed of SEEDS) {
      it(`starts new jobs in time though a draining worker ${name} with a task, seed ${seed}`, () => {
        const cluster = new DomainCluster({ seed });
        const { clock, runs, workers, store } = cluster;
        clock.runUntil(WARM_UP_MS);
        cluster.submit(jobIdOf(JOBS), {
          payload: createTaskPayload({ runMs: LOST_RUN_MS, failures: 0 }),
          stages: [stageSpec({ tasks: 1, estimateMs: LOST_RUN_MS })],
        }, cluster.nodeIds[0]!);
        clock.runUntil(clock.now + 1_000);
        const { workerId } = runs[0]!;
        store.setWorker(workerId, {
          ...workers.get(workerId)!.info,
          state: WorkerState.Draining,
        });
        clock.runUntil(clock.now + 2_000);
        loseWorker(cluster, workerId);
        const owner = cluster.owner!;
        cluster.kill(owner);
        const faultMs = clock.now;
        cluster.submitSteadily({
          jobsPerS: 20,
          forMs: 1_000,
          spec: {
            payload: createTaskPayload({ runMs: 200, failures: 0 }),
            stages: [stageSpec({ tasks: 1, estimateMs: 200 })],
          },
          nodes: cluster.nodeIds.filter((id) => id !== owner),
        });
        clock.runUntil(faultMs + LOST_RUN_MS + 2 * RECOVERY_LIMIT_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
        const started = runs.filter(({ task }) =>
          !task.startsWith(jobIdOf(JOBS))
        );
        expect(started).to.have.length(20);
        expect(Math.max(...started.map(({ startMs }) => startMs)) - faultMs)
          .to.be.below(RECOVERY_LIMIT_MS / 2);
      });
    }
  }

  it("starts the tasks of a replaced worker again at once", () => {
    const cluster = new DomainCluster({ seed: 1 });
    const { clock, runs, workers, nodeIds } = cluster;
    clock.runUntil(WARM_UP_MS);
    cluster.submit(jobIdOf(0), {
      payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
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
      .to.be.below(REPLACEMENT_LIMIT_MS);
  });

  for (const failedReadShare of [0, 0.1, 0.3]) {
    it(`ends though ${failedReadShare} of the reads of a listing fail`, () => {
      const cluster = new DomainCluster({ seed: 1, nodes: 4 });
      const { clock, store, nodeIds } = cluster;
      clock.runUntil(WARM_UP_MS);
      store.faults.failedReadShare = failedReadShare;
      nodeIds.forEach((id) => cluster.kill(id));
      clock.runUntil(clock.now + RECOVERY_LIMIT_MS);
      expect(cluster.owner).not.to.equal(undefined);
    });
  }
});
