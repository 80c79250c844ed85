import "./plugins.ts";
import { OrderKind } from "@mustardweir/protocol";
import { SESSIONS } from "@mustardweir/sessions";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import type { DomainWorker } from "./domain_worker.ts";

const SEEDS = [1, 2, 3];
const WARM_UP_MS = 15_000;
const DOWN_MS = 50;
/**
 * Time in which an owner has the replies to starts and records what they tell, in
 * milliseconds.
 */
const REPLIES_MS = 100;
/** Time from a restart until the worker registers, in milliseconds. */
const REGISTERS_AFTER_MS = 700;
/** Run time of tasks that outlast an ordinary lease, in milliseconds. */
const RUN_MS = 9_500;
const LONG_TASKS = 3;
const SHORT_RUN_MS = 300;
const SHORT_TASKS = 1;
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
        () =>
          cluster.epoch > epoch && lastHeardMs(cluster, workerId) !== undefined,
      );
    },
  },
  {
    name: "a worker that began anew is lost with the owner after its replies",
    injectFault: (cluster, workerId) => {
      restart(cluster, workerId, { registersAfterMs: SETTLE_MS });
      submitTasks(cluster, workerId, { runForMs: REPLIES_MS });
      cluster.kill(cluster.owner!);
    },
  },
  {
    name:
      "a worker that began anew is lost with the owner, a renewal under way",
    injectFault: (cluster, workerId) => {
      restart(cluster, workerId, {
        registersAfterMs: SETTLE_MS,
        isAsked: true,
      });
      submitTasks(cluster, workerId, { runForMs: REPLIES_MS });
      cluster.kill(cluster.owner!);
    },
  },
  {
    name: "a worker that began anew is lost with the owner before its replies",
    injectFault: (cluster, workerId) => {
      restart(cluster, workerId);
      submitTasks(cluster, workerId, { runForMs: 0 });
      cluster.kill(cluster.owner!);
    },
  },
  {
    name: "a worker that began anew and registers is lost with the owner",
    injectFault: (cluster, workerId) => {
      restart(cluster, workerId, { registersAfterMs: REPLIES_MS });
      submitTasks(cluster, workerId, { runForMs: 0 });
      cluster.kill(cluster.owner!);
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
      runUntil(cluster, () => lastHeardMs(cluster, workerId) !== undefined);
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

/** Returns when the owner last heard of the worker; undefined if it never has. */
function lastHeardMs(
  cluster: DomainCluster,
  workerId: string,
): number | undefined {
  const { owner } = cluster;
  const session = owner === undefined
    ? undefined
    : cluster.kernelOf(owner).read(SESSIONS).byWorker.get(workerId);
  return session?.clock === undefined ? undefined : session.answeredMs;
}

/** Runs the cluster until a renewal is on its way to the worker. */
function runUntilAsked(cluster: DomainCluster, worker: DomainWorker): void {
  const order = worker.order.bind(worker);
  let isAsked = false;
  worker.order = (sent, from, options) => {
    isAsked ||= sent.kind === OrderKind.Renew;
    order(sent, from, options);
  };
  runUntil(cluster, () => isAsked);
  worker.order = order;
}

/** Lets an idle worker begin anew; the owner doesn't know it for a while. */
function restart(
  cluster: DomainCluster,
  workerId: string,
  { registersAfterMs = REGISTERS_AFTER_MS, isAsked = false }: {
    readonly registersAfterMs?: number;
    /** Whether it ends when it is asked for a listing; just after by default. */
    readonly isAsked?: boolean;
  } = {},
): void {
  const { clock, store, workers } = cluster;
  const worker = workers.get(workerId)!;
  if (isAsked) {
    runUntilAsked(cluster, worker);
  } else {
    const heardMs = lastHeardMs(cluster, workerId);
    runUntil(cluster, () => lastHeardMs(cluster, workerId) !== heardMs);
  }
  worker.crash();
  clock.runUntil(clock.now + DOWN_MS);
  worker.restart();
  clock.after(
    registersAfterMs,
    () => store.setWorker(workerId, worker.info),
  );
}

/**
 * Lets the worker, the first of those that run nothing, run tasks, and one that
 * ends soon, so that the owner records what it knows of the worker.
 */
function submitTasks(
  cluster: DomainCluster,
  workerId: string,
  { runForMs = FAULT_AFTER_MS }: { readonly runForMs?: number } = {},
): void {
  const { clock, nodeIds, runs } = cluster;
  const jobs = [
    { runMs: RUN_MS, tasks: LONG_TASKS },
    { runMs: SHORT_RUN_MS, tasks: SHORT_TASKS },
  ];
  jobs.forEach(({ runMs, tasks }, index) =>
    cluster.submit(jobIdOf(index), {
      payload: createTaskPayload({ runMs, failures: 0 }),
      stages: [stageSpec({ tasks, estimateMs: runMs })],
    }, nodeIds[index]!)
  );
  runUntil(
    cluster,
    () =>
      runs.filter((run) => run.workerId === workerId).length ===
        LONG_TASKS + SHORT_TASKS,
  );
  clock.runUntil(clock.now + runForMs);
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
