import { NO_RESOURCES, WorkerState } from "@mustardweir/model";
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

/** Run time of tasks that outlast the leases of lost workers, in ms. */
const OUTLAST_MS = 9_000;
/** So small that all of them have room on half of the workers. */
const QUARTER = { ...NO_RESOURCES, cpuMillis: 250 };
/** Time for which the owner that is lost has owned the domain, in ms. */
const TENURE_MS = 20_000;

interface OwnerLossCase {
  readonly name: string;
  /** Time after which the process of the owner is back, in milliseconds. */
  readonly restartMs: number;
  /** Whether the workers run on, cut off from all nodes. */
  readonly isCutOff: boolean;
  /** Whether the next owner is killed as well, a second after its takeover. */
  readonly hasSecondKill?: boolean;
  /** Fraction of the orders that are carried out late; 0 by default. */
  readonly lateShare?: number;
  /** Whether the time until inherited tasks start is checked. */
  readonly isInTime: boolean;
}

const OWNER_LOSSES: readonly OwnerLossCase[] = [
  {
    name: "crash, and the owner is back at once",
    restartMs: 300,
    isCutOff: false,
    isInTime: true,
  },
  {
    name: "crash, and the owner is back after a second",
    restartMs: 1_000,
    isCutOff: false,
    isInTime: true,
  },
  {
    name: "run on, and the owner is back at once",
    restartMs: 300,
    isCutOff: true,
    isInTime: true,
  },
  {
    name: "run on, and the owner stays away",
    restartMs: 60_000,
    isCutOff: true,
    isInTime: false,
  },
  {
    name: "run on, and two owners are killed in turn",
    restartMs: 300,
    isCutOff: true,
    hasSecondKill: true,
    isInTime: false,
  },
  {
    name: "run on, and orders are carried out late",
    restartMs: 300,
    isCutOff: true,
    lateShare: 0.3,
    isInTime: false,
  },
];

// Guards against inherited tasks that stand still for the leases of workers that
// fell silent just before the owner was lost.
describe("workers that are lost with the owner", () => {
  for (const testCase of OWNER_LOSSES) {
    const { name, restartMs, isCutOff, hasSecondKill, lateShare } = testCase;
    for (const seed of [...SEEDS, 4, 5]) {
      it(`${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({ seed, needsPermits: false });
        const { clock, runs, workers, nodeIds } = cluster;
        clock.runUntil(TENURE_MS);
        for (let index = 0; index < JOBS; index++) {
          cluster.submit(jobIdOf(index), {
            payload: createTaskPayload({ runMs: OUTLAST_MS, failures: 0 }),
            stages: [
              stageSpec({ tasks: 2, size: QUARTER, estimateMs: OUTLAST_MS }),
            ],
          }, nodeIds[index % nodeIds.length]!);
        }
        for (const { faults } of workers.values()) {
          faults.lateShare = lateShare ?? 0;
        }
        clock.runUntil(clock.now + 1_500);
        for (const id of ["w0", "w3"]) {
          const worker = workers.get(id)!;
          if (isCutOff) {
            nodeIds.forEach((node) => worker.faults.unreachableFrom.add(node));
          } else {
            worker.crash();
          }
        }
        clock.runUntil(clock.now + 20);
        const faultMs = clock.now;
        cluster.kill(cluster.owner!, restartMs);
        if (hasSecondKill) {
          clock.runUntil(clock.now + 3_000);
          cluster.kill(cluster.owner!, restartMs);
        }
        clock.runUntil(faultMs + 60_000);
        workers.forEach(({ faults }) => {
          faults.lateShare = 0;
          faults.unreachableFrom.clear();
        });
        clock.runUntil(clock.now + 60_000);
        expect(findViolations(cluster)).to.deep.equal([]);
        const firstMs = Math.min(
          ...runs.map(({ startMs }) => startMs)
            .filter((startMs) => startMs > faultMs),
        );
        if (testCase.isInTime) {
          expect(firstMs - faultMs).to.be.below(RECOVERY_LIMIT_MS);
        }
      });
    }
  }
});
