import "./plugins.ts";
import { WorkerState } from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";

const SEEDS = [1, 2, 3];
const WARM_UP_MS = 15_000;
/** Time for which the worker is cut off at first, in milliseconds. */
const FIRST_CUT_MS = 2_000;
/** Run time of tasks that outlast a lease, in milliseconds. */
const RUN_MS = 6_000;
const JOBS = 12;
const SETTLE_MS = 60_000;

interface ReturnCase {
  readonly name: string;
  /** Time for which the worker is away, in milliseconds. */
  readonly awayMs: number;
  /** Whether it crashes meanwhile, so that it returns as a new incarnation. */
  readonly isReborn?: boolean;
  /** Whether it has been away like that before. */
  readonly isRepeated?: boolean;
}

const CASES: readonly ReturnCase[] = [
  { name: "for a while", awayMs: 5_000 },
  { name: "until its session is removed", awayMs: 20_000 },
  { name: "for a minute", awayMs: 70_000 },
  { name: "for long and then again", awayMs: 20_000, isRepeated: true },
  { name: "for long and starts anew", awayMs: 20_000, isReborn: true },
];

/** Cuts the worker off without a registration until it returns. */
function sendAway(
  { clock, workers, store, nodeIds }: DomainCluster,
  { awayMs, isReborn = false }: ReturnCase,
): void {
  const worker = workers.get("w0")!;
  const { unreachableFrom } = worker.faults;
  nodeIds.forEach((node) => unreachableFrom.add(node));
  store.setWorker("w0", undefined);
  clock.after(awayMs, () => {
    if (isReborn) {
      worker.crash();
      worker.restart();
    }
    unreachableFrom.clear();
    store.setWorker("w0", worker.info);
  });
}

/** Sets the state of all workers but the one that was away. */
function setOthers({ workers, store }: DomainCluster, state: WorkerState) {
  for (const [id, worker] of workers) {
    if (id !== "w0") {
      worker.setState(state);
      store.setWorker(id, worker.info);
    }
  }
}

function submitJobs(cluster: DomainCluster, from: number, to: number): void {
  for (let index = from; index < to; index++) {
    cluster.submit(jobIdOf(index), {
      payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
      stages: [stageSpec({ tasks: 1, estimateMs: RUN_MS })],
    }, cluster.nodeIds[index % cluster.nodeIds.length]!);
  }
}

// Guards against a token that falls within an epoch: the worker then takes the
// owner for a former one, and its owner gives the domain up.
describe("the owner keeps the domain though a worker is away", () => {
  for (const testCase of CASES) {
    for (const seed of SEEDS) {
      it(`${testCase.name}, seed ${seed}`, () => {
        const takeovers: string[] = [];
        const cluster = new DomainCluster({
          seed,
          needsPermits: false,
          onLog: ({ message }, nodeId) => {
            if (message === "Domain taken over") {
              takeovers.push(nodeId);
            }
          },
        });
        const { clock, workers, nodeIds, runs } = cluster;
        clock.runUntil(WARM_UP_MS);
        const { unreachableFrom } = workers.get("w0")!.faults;
        nodeIds.forEach((node) => unreachableFrom.add(node));
        clock.runUntil(clock.now + FIRST_CUT_MS);
        unreachableFrom.clear();
        clock.runUntil(clock.now + 1_000);
        if (testCase.isRepeated) {
          sendAway(cluster, testCase);
          clock.runUntil(clock.now + 2 * testCase.awayMs);
        }
        sendAway(cluster, testCase);
        clock.runUntil(clock.now + testCase.awayMs - 1_000);
        submitJobs(cluster, 0, JOBS);
        clock.runUntil(clock.now + 700);
        for (const id of ["w1", "w4"]) {
          const { faults } = workers.get(id)!;
          nodeIds.forEach((node) => faults.unreachableFrom.add(node));
          clock.after(SETTLE_MS, () => faults.unreachableFrom.clear());
        }
        clock.runUntil(clock.now + 2 * FIRST_CUT_MS);
        submitJobs(cluster, JOBS, 3 * JOBS);
        clock.runUntil(clock.now + 2 * SETTLE_MS);
        expect(takeovers).to.have.length(1);
        expect(findViolations(cluster)).to.deep.equal([]);
        expect(runs.some(({ workerId }) => workerId === "w0")).to.equal(true);
      });
    }
  }
});

interface RemovalCase {
  readonly name: string;
  /** Time from the loss of the store until the worker returns, in ms. */
  readonly returnsAfterMs: number;
  /** Time from the loss of the store until its end, in milliseconds. */
  readonly outageMs: number;
}

const REMOVALS: readonly RemovalCase[] = [
  { name: "before", returnsAfterMs: 5_000, outageMs: 19_000 },
  { name: "while", returnsAfterMs: 18_000, outageMs: 19_000 },
  { name: "after", returnsAfterMs: 20_000, outageMs: 19_000 },
];

// Guards against a session that is opened anew while the removal of its record
// waits for the store: a successor then doesn't know that the worker is in use.
describe("tasks run once on a worker that is back", () => {
  for (const { name, returnsAfterMs, outageMs } of REMOVALS) {
    for (const seed of SEEDS) {
      it(`${name} its record is removed, seed ${seed}`, () => {
        const cluster = new DomainCluster({
          seed,
          nodes: 1,
          needsPermits: false,
        });
        const { clock, store, workers, nodeIds, runs } = cluster;
        const [node] = nodeIds;
        clock.runUntil(WARM_UP_MS);
        store.faults.cutFromDomain.add(node!);
        clock.after(outageMs, () => store.faults.cutFromDomain.clear());
        sendAway(cluster, { name, awayMs: returnsAfterMs });
        clock.runUntil(
          clock.now + Math.max(outageMs, returnsAfterMs) + FIRST_CUT_MS,
        );
        setOthers(cluster, WorkerState.Draining);
        clock.runUntil(clock.now + FIRST_CUT_MS);
        submitJobs(cluster, 0, 1);
        clock.runUntil(clock.now + FIRST_CUT_MS);
        expect(runs.map(({ workerId }) => workerId)).to.deep.equal(["w0"]);
        setOthers(cluster, WorkerState.Ready);
        cluster.kill(node!);
        workers.get("w0")!.faults.unreachableFrom.add(node!);
        clock.runUntil(clock.now + SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
      });
    }
  }
});
