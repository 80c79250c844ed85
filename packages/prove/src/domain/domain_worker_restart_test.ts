import { NO_RESOURCES } from "@mustardweir/model";
import { OrderKind } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";
import type { DomainWorker } from "./domain_worker.ts";

const SEEDS = [1, 2, 3];
const ROUNDS = 6;
const WORKERS = 6;
const DOWN_MS = 250;
/** Longest time between two renewals of an idle worker, in milliseconds. */
const RENEWAL_LIMIT_MS = 1_500;
/** Time in which the tasks of a round end, in milliseconds. */
const ROUND_MS = 8_000;
const SETTLE_MS = 20_000;
const SMALL_CPU_MILLIS = 1_000;

interface RestartCase {
  readonly name: string;
  readonly runMs: number;
  /**
   * Time from the restart to the registration of the new incarnation, in
   * milliseconds.
   */
  readonly registersAfterMs: number;
  /** Time from the restart to the submission of a job, in milliseconds. */
  readonly submitsAfterMs: number;
  /** Tasks of each job; as many as workers by default. */
  readonly tasks?: number;
  /** Called when the worker is up again. */
  readonly onRestart?: (cluster: DomainCluster, workerId: string) => void;
}

const CASES: readonly RestartCase[] = [
  {
    name: "registers at once",
    runMs: 1_200,
    registersAfterMs: 0,
    submitsAfterMs: 5,
  },
  {
    name: "registers late",
    runMs: 1_200,
    registersAfterMs: 900,
    submitsAfterMs: 300,
  },
  {
    name: "ends its first tasks before it is asked for a listing",
    runMs: 20,
    registersAfterMs: 900,
    submitsAfterMs: 5,
  },
  {
    name: "loses the replies to its first starts",
    runMs: 1_200,
    registersAfterMs: 0,
    submitsAfterMs: 5,
    onRestart: ({ workers, clock }, workerId) => {
      const { faults } = workers.get(workerId)!;
      faults.losesStartReplies = true;
      clock.after(200, () => faults.losesStartReplies = false);
    },
  },
  {
    name: "is cut off after its first starts",
    runMs: 9_000,
    registersAfterMs: 0,
    submitsAfterMs: 5,
    onRestart: ({ workers, nodeIds, clock }, workerId) => {
      const { unreachableFrom } = workers.get(workerId)!.faults;
      clock.after(120, () => nodeIds.forEach((id) => unreachableFrom.add(id)));
      clock.after(9_500, () => unreachableFrom.clear());
    },
  },
  {
    name: "ends its first tasks and loses the owner before it is asked",
    runMs: 20,
    registersAfterMs: 300,
    submitsAfterMs: 5,
    onRestart: (cluster) =>
      cluster.clock.after(80, () => cluster.kill(cluster.owner!)),
  },
  {
    name: "is cut off after it was asked and the owner stops",
    runMs: 12_000,
    registersAfterMs: 0,
    submitsAfterMs: 5,
    onRestart: (cluster, workerId) => {
      const { workers, nodeIds, clock } = cluster;
      const { unreachableFrom } = workers.get(workerId)!.faults;
      clock.after(
        1_000,
        () => nodeIds.forEach((id) => unreachableFrom.add(id)),
      );
      clock.after(1_050, () => cluster.stop(cluster.owner!));
      clock.after(12_500, () => unreachableFrom.clear());
    },
  },
  {
    name: "loses the owner and is cut off once its successor has asked",
    runMs: 12_000,
    tasks: 4,
    registersAfterMs: 300,
    submitsAfterMs: 5,
    onRestart: (cluster, workerId) => {
      const { workers, nodeIds, clock } = cluster;
      const { unreachableFrom } = workers.get(workerId)!.faults;
      clock.after(250, () => cluster.kill(cluster.owner!));
      clock.after(
        3_500,
        () => nodeIds.forEach((id) => unreachableFrom.add(id)),
      );
      clock.after(12_500, () => unreachableFrom.clear());
    },
  },
  {
    name: "loses the owner after its first starts",
    runMs: 1_200,
    registersAfterMs: 300,
    submitsAfterMs: 5,
    onRestart: (cluster) =>
      cluster.clock.after(60, () => cluster.kill(cluster.owner!)),
  },
];

/**
 * Runs until an idle worker has replied to a renewal, so that it is next asked
 * for a listing when it is up again.
 */
function runUntilRenewed({ clock }: DomainCluster, worker: DomainWorker): void {
  const order = worker.order.bind(worker);
  let isRenewed = false;
  worker.order = (sent, from, options) => {
    isRenewed ||= sent.kind === OrderKind.Renew;
    order(sent, from, options);
  };
  const giveUpMs = clock.now + RENEWAL_LIMIT_MS;
  while (!isRenewed && clock.now < giveUpMs) {
    clock.runUntil(clock.now + 1);
  }
  expect(isRenewed).to.equal(true);
  worker.order = order;
  clock.runUntil(clock.now + 5);
}

/** Lets workers crash in turn and submits a job when each is up again. */
function runRestartCase(
  { runMs, registersAfterMs, submitsAfterMs, tasks = WORKERS, onRestart }:
    RestartCase,
  seed: number,
): DomainCluster {
  const cluster = new DomainCluster({
    seed,
    workers: WORKERS,
    needsPermits: false,
  });
  const { clock, store, workers, nodeIds } = cluster;
  clock.runUntil(WARM_UP_MS);
  for (let round = 0; round < ROUNDS; round++) {
    const workerId = `w${round % WORKERS}`;
    const worker = workers.get(workerId)!;
    runUntilRenewed(cluster, worker);
    worker.crash();
    clock.runUntil(clock.now + DOWN_MS);
    worker.restart();
    clock.after(registersAfterMs, () => store.setWorker(workerId, worker.info));
    onRestart?.(cluster, workerId);
    clock.after(submitsAfterMs, () =>
      cluster.submit(jobIdOf(round), {
        payload: createTaskPayload({ runMs, failures: 0 }),
        stages: [stageSpec({ tasks, maxPerWorker: 1 })],
      }, nodeIds[round % nodeIds.length]!));
    clock.runUntil(clock.now + Math.max(ROUND_MS, 1.8 * runMs));
  }
  clock.runUntil(clock.now + SETTLE_MS);
  return cluster;
}

it("a worker that is back with less room gets no tasks by its former capacity", () => {
  const cluster = new DomainCluster({
    seed: 1,
    workers: 1,
    needsPermits: false,
  });
  const { clock, store, workers, nodeIds, runs } = cluster;
  clock.runUntil(WARM_UP_MS);
  const worker = workers.get("w0")!;
  worker.crash();
  clock.runUntil(clock.now + DOWN_MS);
  worker.restart();
  worker.setCapacity(SMALL_CPU_MILLIS);
  clock.runUntil(clock.now + RENEWAL_LIMIT_MS);
  cluster.submit(jobIdOf(0), {
    payload: createTaskPayload({ runMs: 1_000, failures: 0 }),
    stages: [
      stageSpec({
        tasks: 3,
        size: { ...NO_RESOURCES, cpuMillis: SMALL_CPU_MILLIS },
      }),
    ],
  }, nodeIds[0]!);
  clock.runUntil(clock.now + DOWN_MS);
  store.setWorker("w0", worker.info);
  clock.runUntil(clock.now + SETTLE_MS);
  expect(findViolations(cluster)).to.deep.equal([]);
  expect(runs).to.have.length(3);
  const together = runs.slice(1).filter(({ startMs }, index) =>
    startMs < runs[index]!.endMs!
  );
  expect(together).to.deep.equal([]);
});

// Guards against a record of a restart that names the incarnation before: a
// successor would take the worker for restarted once more.
describe("a worker that has begun anew is recorded as its new incarnation", () => {
  for (const seed of SEEDS) {
    it(`so that a successor knows it, seed ${seed}`, () => {
      const restarts: string[] = [];
      const cluster = new DomainCluster({
        seed,
        workers: WORKERS,
        needsPermits: false,
        onLog: ({ message }, nodeId) => {
          if (message === "Worker restarted") {
            restarts.push(cluster.processOf(nodeId)!);
          }
        },
      });
      const { clock, store, workers, nodeIds } = cluster;
      clock.runUntil(WARM_UP_MS);
      const worker = workers.get("w0")!;
      worker.crash();
      clock.runUntil(clock.now + DOWN_MS);
      worker.restart();
      store.setWorker("w0", worker.info);
      clock.runUntil(clock.now + ROUND_MS);
      cluster.submit(jobIdOf(0), {
        payload: createTaskPayload({ runMs: ROUND_MS, failures: 0 }),
        stages: [stageSpec({ tasks: WORKERS, maxPerWorker: 1 })],
      }, nodeIds[0]!);
      clock.runUntil(clock.now + RENEWAL_LIMIT_MS);
      const owner = cluster.processOf(cluster.owner!);
      cluster.kill(cluster.owner!);
      clock.runUntil(clock.now + SETTLE_MS);
      expect(restarts).to.deep.equal([owner]);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});

describe("tasks of a worker that crashes and is back under its id", () => {
  for (const testCase of CASES) {
    for (const seed of SEEDS) {
      it(`run once if it ${testCase.name}, seed ${seed}`, () => {
        expect(findViolations(runRestartCase(testCase, seed))).to.deep.equal(
          [],
        );
      }).timeout(60_000);
    }
  }
});
