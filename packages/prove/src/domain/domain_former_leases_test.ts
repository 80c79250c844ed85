import "./plugins.ts";
import { SESSIONS } from "@mustardweir/sessions";
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
const DOWN_MS = 50;
/** Time from a restart until the worker registers, in milliseconds. */
const REGISTERS_AFTER_MS = 700;
/** Run time of tasks that outlast an ordinary lease, in milliseconds. */
const RUN_MS = 9_500;
const SHORT_RUN_MS = 300;
/** Time from the start of the tasks until a fault, in milliseconds. */
const FAULT_AFTER_MS = 2_000;
/** Longest time that a condition is waited for, in milliseconds. */
const WAIT_MS = 20_000;
const SETTLE_MS = 60_000;
/** Time for which a node can't reach the store so that it grants no lease, in ms. */
const UNCONFIRMED_MS = 4_010;
/** Time after which a node notes that a renewal got no reply, in milliseconds. */
const MISS_MS = 450;

interface FormerLeaseCase {
  readonly name: string;
  /** Number of nodes; 4 by default. */
  readonly nodes?: number;
  /** Called when tasks are about to run; ends when the worker is cut off. */
  readonly injectFault: (cluster: DomainCluster, workerId: string) => void;
}

const CASES: readonly FormerLeaseCase[] = [
  {
    name: "a worker that began anew is cut off once a successor has asked it",
    injectFault: (cluster, workerId) => {
      restart(cluster, workerId);
      submitTasks(cluster, workerId);
      const { epoch } = cluster;
      cluster.kill(cluster.owner!);
      runUntil(
        cluster,
        () => cluster.epoch > epoch && isHeardOf(cluster, workerId),
      );
    },
  },
  {
    name: "a successor hears once of a worker when it may not grant leases",
    nodes: 2,
    injectFault: (cluster, workerId) => {
      const { clock, nodeIds, store, workers } = cluster;
      submitTasks(cluster, workerId);
      const owner = cluster.owner!;
      const successor = nodeIds.find((id) => id !== owner)!;
      // The owner reaches only the worker, and the successor only the others.
      for (const [id, { faults }] of workers) {
        faults.unreachableFrom.add(id === workerId ? successor : owner);
      }
      cluster.setLinkDown(owner, successor, true);
      store.faults.silent.add(owner);
      runUntil(cluster, () => cluster.owner === successor);
      store.faults.refused.add(successor);
      clock.runUntil(clock.now + UNCONFIRMED_MS);
      workers.get(workerId)!.faults.unreachableFrom.delete(successor);
      runUntil(cluster, () => isHeardOf(cluster, workerId));
      clock.after(MISS_MS, () => store.faults.refused.delete(successor));
      clock.after(SETTLE_MS, () => {
        store.faults.silent.clear();
        cluster.setLinkDown(owner, successor, false);
        workers.forEach(({ faults }) => faults.unreachableFrom.clear());
      });
    },
  },
];

/** Runs the cluster until the condition holds. */
function runUntil({ clock }: DomainCluster, isMet: () => boolean): void {
  const limitMs = clock.now + WAIT_MS;
  while (!isMet()) {
    expect(clock.now).to.be.below(limitMs);
    clock.runUntil(clock.now + 1);
  }
}

/** Returns whether the owner has just had a reply to a renewal. */
function isHeardOf(cluster: DomainCluster, workerId: string): boolean {
  const { owner, clock } = cluster;
  const session = owner === undefined
    ? undefined
    : cluster.kernelOf(owner).read(SESSIONS).byWorker.get(workerId);
  return session?.clock !== undefined && session.missed === 0 &&
    clock.now - session.answeredMs <= 1;
}

/** Lets an idle worker begin anew; the owner doesn't know it for a while. */
function restart(cluster: DomainCluster, workerId: string): void {
  const { clock, store, workers } = cluster;
  const worker = workers.get(workerId)!;
  runUntil(cluster, () => isHeardOf(cluster, workerId));
  worker.crash();
  clock.runUntil(clock.now + DOWN_MS);
  worker.restart();
  clock.after(
    REGISTERS_AFTER_MS,
    () => store.setWorker(workerId, worker.info),
  );
}

/**
 * Lets the worker, the first of those that run nothing, run tasks, and one that
 * ends soon, so that the owner records what it knows of the worker.
 */
function submitTasks(cluster: DomainCluster, workerId: string): void {
  const { clock, nodeIds, runs } = cluster;
  const jobs = [
    { runMs: RUN_MS, tasks: 3 },
    { runMs: SHORT_RUN_MS, tasks: 1 },
  ];
  jobs.forEach(({ runMs, tasks }, index) =>
    cluster.submit(jobIdOf(index), {
      payload: createTaskPayload({ runMs, failures: 0 }),
      stages: [stageSpec({ tasks, estimateMs: runMs })],
    }, nodeIds[index]!)
  );
  clock.runUntil(clock.now + FAULT_AFTER_MS);
  expect(
    runs.some((run) => run.workerId === workerId && run.endMs === undefined),
  ).to.equal(true);
}

/** Cuts a worker off from all nodes for a while. */
function cutOff(cluster: DomainCluster, workerId: string): void {
  const { clock, workers, nodeIds } = cluster;
  const { unreachableFrom } = workers.get(workerId)!.faults;
  nodeIds.forEach((node) => unreachableFrom.add(node));
  clock.after(SETTLE_MS, () => unreachableFrom.clear());
}

// Guards against a successor that forgets the leases of its predecessors as soon
// as a worker has replied.
describe("tasks run once though predecessors have granted leases and", () => {
  for (const { name, nodes, injectFault } of CASES) {
    for (const seed of SEEDS) {
      it(`${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({
          seed,
          needsPermits: false,
          ...(nodes === undefined ? {} : { nodes }),
        });
        const { clock } = cluster;
        clock.runUntil(WARM_UP_MS);
        injectFault(cluster, "w0");
        cutOff(cluster, "w0");
        clock.runUntil(clock.now + 2 * SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
      });
    }
  }
});
