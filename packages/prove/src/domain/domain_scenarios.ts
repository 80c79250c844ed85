import "./plugins.ts";
import type { Tampering } from "../simulation/tampering.ts";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import type { DomainWorker } from "./domain_worker.ts";

/** Time in which nodes connect before the first job, in milliseconds. */
export const WARM_UP_MS = 3_000;
/** Number of jobs of each run. */
export const JOBS = 30;
const JOB_GAP_MS = 200;
/** Time after the last job: covers expiring leases and late orders, in ms. */
const SETTLE_MS = 45_000;

/** Time for which a scenario cuts the owner off, in milliseconds. */
const ISOLATION_MS = 14_000;

const TWO_STAGES = [stageSpec(), stageSpec({ tasks: 2, dependsOn: [0] })];

/** A fault that occurs while jobs are submitted. */
export interface DomainScenario {
  readonly name: string;
  /** Called one second after the first job was submitted. */
  readonly injectFault: (cluster: DomainCluster) => void;
  /** Minimum number of accepted jobs; a third of all by default. */
  readonly minAccepted?: number;
  /** Run time of each task; 0.3 s to 0.9 s by default, in milliseconds. */
  readonly runMs?: number;
  readonly failures?: number;
  readonly stages?: readonly ReturnType<typeof stageSpec>[];
  /** Number of nodes; 4 by default, so that all keep a copy of the records. */
  readonly nodes?: number;
}

/** Number of nodes of which some keep no copy of the records. */
export const MANY_NODES = 10;

/** Run time of tasks that can't end before a departure, in milliseconds. */
const DEPARTING_RUN_MS = 2_000;
/** Gangs, tasks that resume, and tasks that start over. */
const DEPARTING_STAGES = [
  { gang: true, checkpoints: true },
  { tasks: 2, checkpoints: true },
  { tasks: 2 },
].map((options) => stageSpec({ ...options, estimateMs: 2 * DEPARTING_RUN_MS }));
/** What else goes wrong when workers leave. */
const DEPARTURE_FAULTS: readonly Pick<
  DomainScenario,
  "name" | "injectFault" | "stages"
>[] = [
  { name: "", injectFault: () => {} },
  {
    name: " and the owner is killed",
    injectFault: (cluster) =>
      cluster.clock.after(20, () => cluster.kill(cluster.owner!)),
  },
  {
    name: " and all nodes are killed",
    injectFault: (cluster) =>
      cluster.clock.after(
        20,
        () => cluster.nodeIds.forEach((id) => cluster.kill(id)),
      ),
  },
  {
    name: " and carry orders out late",
    // A member of a gang may then start late, whether or not workers leave.
    stages: DEPARTING_STAGES.filter(({ gang }) => !gang),
    injectFault: ({ workers, clock }) => {
      for (const { faults } of workers.values()) {
        faults.lateShare = 0.3;
        clock.after(6_000, () => faults.lateShare = 0);
      }
    },
  },
];

/** The scenarios under which the domain is tested. */
export const DOMAIN_SCENARIOS: readonly DomainScenario[] = [
  { name: "nothing is wrong", injectFault: () => {} },
  {
    name: "the owner is killed",
    injectFault: (cluster) => cluster.kill(cluster.owner!),
  },
  {
    name: "the owner is killed twice",
    injectFault: (cluster) => {
      cluster.kill(cluster.owner!);
      cluster.clock.after(2_500, () => cluster.kill(cluster.owner ?? "n0"));
    },
  },
  {
    name: "all nodes are killed",
    injectFault: (cluster) => cluster.nodeIds.forEach((id) => cluster.kill(id)),
  },
  {
    name: "the owner is paused for 4 s",
    injectFault: (cluster) => cluster.pause(cluster.owner!, 4_000),
  },
  {
    name: "the owner is paused for 15 s",
    injectFault: (cluster) => cluster.pause(cluster.owner!, 15_000),
  },
  {
    name: "the owner is stopped as planned",
    injectFault: (cluster) => cluster.stop(cluster.owner!),
  },
  {
    name: "the owner is stopped and the store goes silent at once",
    minAccepted: 5,
    injectFault: (cluster) => {
      const { nodeIds, store, clock } = cluster;
      cluster.stop(cluster.owner!);
      clock.after(
        500,
        () => nodeIds.forEach((id) => store.faults.silent.add(id)),
      );
      clock.after(6_500, () => store.faults.silent.clear());
    },
  },
  {
    name: "nodes are stopped in turn",
    injectFault: (cluster) =>
      cluster.nodeIds.forEach((id, index) =>
        cluster.clock.after(index * 1_500, () => cluster.stop(id))
      ),
  },
  {
    name: "the store refuses the owner",
    minAccepted: JOBS,
    injectFault: ({ owner, store, clock }) => {
      store.faults.refused.add(owner!);
      clock.after(7_000, () => store.faults.refused.clear());
    },
  },
  {
    name: "the store is silent to the owner",
    minAccepted: JOBS - 2,
    injectFault: ({ owner, store, clock }) => {
      store.faults.silent.add(owner!);
      clock.after(7_000, () => store.faults.silent.clear());
    },
  },
  {
    name: "the owner is cut off from the store and its peers",
    injectFault: (cluster) => isolateOwner(cluster),
  },
  {
    name: "the store turns two nodes away",
    minAccepted: JOBS,
    injectFault: ({ store, clock }) => {
      store.faults.refused.add("n1").add("n2");
      clock.after(7_000, () => store.faults.refused.clear());
    },
  },
  {
    name: "the store is silent to all",
    minAccepted: 5,
    injectFault: ({ nodeIds, store, clock }) => {
      nodeIds.forEach((id) => store.faults.silent.add(id));
      clock.after(6_000, () => store.faults.silent.clear());
    },
  },
  {
    name: "the store is slow",
    injectFault: ({ store, clock }) => {
      store.faults.callMs = 240;
      clock.after(5_000, () => store.faults.callMs = 4);
    },
  },
  {
    name: "replies of the store are lost",
    injectFault: ({ store, clock }) => {
      store.faults.lostShare = 0.35;
      clock.after(5_000, () => store.faults.lostShare = 0);
    },
  },
  {
    name: "writes are done late",
    injectFault: ({ store, clock }) => {
      store.faults.lostShare = 0.35;
      store.faults.lateMs = 2_500;
      clock.after(5_000, () => store.faults.lostShare = 0);
    },
  },
  {
    name: "most writes are done late",
    minAccepted: 5,
    injectFault: ({ store, clock }) => {
      store.faults.lostShare = 0.9;
      store.faults.lateMs = 2_500;
      clock.after(5_000, () => store.faults.lostShare = 0);
    },
  },
  {
    name: "the store compacts its history",
    injectFault: ({ store, clock }) => {
      store.compactHistory();
      clock.after(1_000, () => store.compactHistory());
    },
  },
  {
    name: "a worker is cut off for 3 s",
    injectFault: (cluster) => disconnectWorker(cluster, "w1", 3_000),
  },
  {
    name: "a worker is cut off for 12 s",
    injectFault: (cluster) => disconnectWorker(cluster, "w1", 12_000),
  },
  {
    name: "a worker is cut off in the middle of long tasks",
    runMs: 9_000,
    stages: [stageSpec({ tasks: 1 })],
    injectFault: (cluster) => disconnectWorker(cluster, "w1", 20_000),
  },
  {
    name: "a worker is cut off and the owner is killed",
    injectFault: (cluster) => {
      disconnectWorker(cluster, "w1", 20_000);
      cluster.kill(cluster.owner!);
    },
  },
  {
    name: "a worker with long tasks is cut off and the owner is killed",
    runMs: 9_000,
    stages: [stageSpec({ tasks: 1 })],
    injectFault: (cluster) => {
      disconnectWorker(cluster, "w1", 20_000);
      cluster.kill(cluster.owner!);
    },
  },
  {
    name:
      "a worker is cut off from all but the owner, which is cut off from the store",
    injectFault: (cluster) => {
      const { owner, nodeIds, store, clock, workers } = cluster;
      const { unreachableFrom } = workers.get("w1")!.faults;
      nodeIds.filter((id) => id !== owner).forEach((id) =>
        unreachableFrom.add(id)
      );
      store.faults.silent.add(owner!);
      clock.after(14_000, () => {
        unreachableFrom.clear();
        store.faults.silent.clear();
      });
    },
  },
  {
    name: "a worker restarts under its id",
    injectFault: ({ workers, store, clock }) => {
      const worker = workers.get("w2")!;
      worker.crash();
      clock.after(500, () => {
        worker.restart();
        store.setWorker("w2", worker.info);
      });
    },
  },
  {
    name: "a worker is lost for good",
    injectFault: ({ workers, store, clock }) => {
      workers.get("w3")!.crash();
      clock.after(4_500, () => store.setWorker("w3", undefined));
    },
  },
  {
    name: "a worker ends and another takes its address",
    injectFault: ({ workers }) => replaceWorker(workers.get("w3")!),
  },
  {
    name: "a worker ends, another takes its address, and the owner is killed",
    injectFault: (cluster) => {
      replaceWorker(cluster.workers.get("w3")!);
      cluster.kill(cluster.owner!);
    },
  },
  {
    name: "orders are carried out late",
    injectFault: ({ workers, clock }) => {
      for (const { faults } of workers.values()) {
        faults.lateShare = 0.1;
        clock.after(5_000, () => faults.lateShare = 0);
      }
    },
  },
  {
    name: "orders are carried out late and the owner is killed",
    injectFault: (cluster) => {
      for (const { faults } of cluster.workers.values()) {
        faults.lateShare = 0.1;
        cluster.clock.after(5_000, () => faults.lateShare = 0);
      }
      cluster.clock.after(2_000, () => cluster.kill(cluster.owner!));
    },
  },
  {
    name: "a zone is drained",
    injectFault: ({ store, clock }) => {
      store.setDrained("zone-1", true);
      clock.after(6_000, () => store.setDrained("zone-1", false));
    },
  },
  {
    name: "every task fails once, and the owner is killed",
    failures: 1,
    injectFault: (cluster) => cluster.kill(cluster.owner!),
  },
  {
    name: "every task fails always, and the owner is killed",
    failures: 99,
    injectFault: (cluster) => cluster.kill(cluster.owner!),
  },
  {
    name: "every task fails always, and the owner is cut off",
    failures: 99,
    runMs: 350,
    injectFault: (cluster) => isolateOwner(cluster),
  },
  {
    name: "jobs are cancelled",
    injectFault: (cluster) => {
      for (const jobId of [...cluster.clients.keys()]) {
        cluster.cancel(jobId, "n1");
      }
    },
  },
  {
    name: "every gang fails at first",
    stages: [stageSpec({ gang: true, tasks: 4 })],
    failures: 1,
    injectFault: () => {},
  },
  {
    name: "gangs run and the owner is killed",
    stages: [stageSpec({ gang: true, tasks: 4 })],
    injectFault: (cluster) => cluster.kill(cluster.owner!),
  },
  { name: "ten nodes run", nodes: MANY_NODES, injectFault: () => {} },
  {
    name: "ten nodes run and the owner is killed",
    nodes: MANY_NODES,
    injectFault: (cluster) => cluster.kill(cluster.owner!),
  },
  {
    name: "ten nodes run and all are killed",
    nodes: MANY_NODES,
    injectFault: (cluster) => cluster.nodeIds.forEach((id) => cluster.kill(id)),
  },
  {
    name: "ten nodes run and all that keep the records are lost for 25 s",
    nodes: MANY_NODES,
    injectFault: (cluster) =>
      cluster.standbys.forEach((id) => cluster.kill(id, 25_000)),
  },
  {
    name: "ten nodes run, the owner is cut off and jobs are cancelled",
    nodes: MANY_NODES,
    injectFault: (cluster) => {
      isolateOwner(cluster);
      for (const jobId of [...cluster.clients.keys()]) {
        cluster.cancel(jobId, "n8");
      }
    },
  },
  {
    name: "ten nodes run and the store is slow and loses replies",
    nodes: MANY_NODES,
    injectFault: ({ store, clock }) => {
      store.faults.callMs = 150;
      store.faults.lostShare = 0.2;
      clock.after(6_000, () => {
        store.faults.callMs = 4;
        store.faults.lostShare = 0;
      });
    },
  },
  ...DEPARTURE_FAULTS.map(({ name, injectFault, stages }) => ({
    name: `half of the workers leave with notice${name}`,
    runMs: DEPARTING_RUN_MS,
    stages: stages ?? DEPARTING_STAGES,
    injectFault: (cluster: DomainCluster) => {
      injectFault(cluster);
      ["w0", "w2", "w4"].forEach((id, index) =>
        cluster.clock.after(index * 150, () =>
          cluster.announceDeparture(id, {
            remainingMs: 1_200,
            leavesAfterMs: 1_300,
          }))
      );
    },
  })),
  {
    name: "the owner and some workers are cut off while much work waits",
    runMs: 3_000,
    stages: [stageSpec({ tasks: 12 })],
    injectFault: (cluster) => {
      isolateOwner(cluster);
      const { owner, nodeIds, clock, workers } = cluster;
      [...workers.values()].forEach(
        ({ faults: { unreachableFrom } }, index) => {
          const isWithOwner = index % 2 === 0;
          nodeIds.filter((id) => (id === owner) !== isWithOwner)
            .forEach((id) => unreachableFrom.add(id));
          clock.after(ISOLATION_MS, () => unreachableFrom.clear());
        },
      );
    },
  },
];

/** Lets the owner reach only the workers for {@link ISOLATION_MS}. */
function isolateOwner(cluster: DomainCluster): void {
  const { owner, nodeIds, store, clock } = cluster;
  const others = nodeIds.filter((id) => id !== owner);
  store.faults.silent.add(owner!);
  others.forEach((id) => cluster.setLinkDown(owner!, id, true));
  clock.after(ISOLATION_MS, () => {
    store.faults.silent.clear();
    others.forEach((id) => cluster.setLinkDown(owner!, id, false));
  });
}

function replaceWorker(worker: DomainWorker): void {
  worker.crash();
  worker.faults.isReplaced = true;
}

function disconnectWorker(
  cluster: DomainCluster,
  id: string,
  forMs: number,
): void {
  const { unreachableFrom } = cluster.workers.get(id)!.faults;
  cluster.nodeIds.forEach((node) => unreachableFrom.add(node));
  cluster.clock.after(forMs, () => unreachableFrom.clear());
}

/** Runs a scenario to its end; returns the cluster for the oracles. */
export function runDomainScenario(
  scenario: DomainScenario,
  options: { readonly seed: number; readonly tampering?: Tampering },
): DomainCluster {
  const { nodes } = scenario;
  const cluster = new DomainCluster({
    ...options,
    ...(nodes === undefined ? {} : { nodes }),
  });
  cluster.clock.runUntil(WARM_UP_MS);
  for (let index = 0; index < JOBS; index++) {
    cluster.clock.after(
      index * JOB_GAP_MS,
      () =>
        cluster.submit(jobIdOf(index), {
          payload: createTaskPayload({
            runMs: scenario.runMs ?? 300 + 100 * (index % 7),
            failures: scenario.failures ?? 0,
          }),
          stages: scenario.stages ?? TWO_STAGES,
        }, cluster.nodeIds[index % cluster.nodeIds.length]!),
    );
  }
  cluster.clock.after(1_000, () => scenario.injectFault(cluster));
  cluster.clock.runUntil(WARM_UP_MS + JOBS * JOB_GAP_MS + SETTLE_MS);
  return cluster;
}
