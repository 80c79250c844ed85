import { NO_RESOURCES, StagedJobState } from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations, jobState } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];
const WORKERS = 2;
const ENDS_PER_LIST = 10;
const RUN_MS = 3_000;
const SETTLE_MS = 20_000;
/** Time in which tasks are submitted while starts get lost, in milliseconds. */
const LOAD_MS = 6_000;
/** Time from the submission of a job to its cancellation, in milliseconds. */
const CANCEL_AFTER_MS = 100;

/** Ends on a list while starts get lost, and every how many jobs are cancelled. */
const LOST_START_CASES = [
  { endsPerList: 1, cancelsEvery: Infinity },
  { endsPerList: 3, cancelsEvery: Infinity },
  { endsPerList: 10, cancelsEvery: Infinity },
  { endsPerList: 1, cancelsEvery: 2 },
] as const;
/** Time in which a worker with a backlog of ends gets tasks again, in ms. */
const USABLE_MS = 2_500;

interface EndsCase {
  readonly name: string;
  readonly tasks: number;
  /** Called just before the tasks end. */
  readonly injectFault: (cluster: DomainCluster) => void;
}

function refuseStore(forMs: number): EndsCase["injectFault"] {
  return ({ store, nodeIds, clock }) => {
    nodeIds.forEach((id) => store.faults.refused.add(id));
    clock.after(forMs, () => store.faults.refused.clear());
  };
}

/** Kills the owner when the tasks have ended, before their ends are recorded. */
function killOwnerAfterEnds(cluster: DomainCluster): void {
  const { store, clock } = cluster;
  const owner = cluster.owner!;
  store.faults.cutFromDomain.add(owner);
  clock.after(400, () => {
    store.faults.cutFromDomain.clear();
    cluster.kill(owner);
  });
}

const CASES: readonly EndsCase[] = [
  {
    name: "without a fault",
    tasks: 50,
    injectFault: () => {},
  },
  {
    name: "while the store refuses all calls",
    tasks: 50,
    injectFault: refuseStore(2_500),
  },
  {
    name: "while the store refuses all calls, as many as two lists hold",
    tasks: 2 * ENDS_PER_LIST * WORKERS,
    injectFault: refuseStore(2_500),
  },
  {
    name: "while the store refuses all calls, as many as one list holds",
    tasks: ENDS_PER_LIST * WORKERS,
    injectFault: refuseStore(2_500),
  },
  {
    name: "before the owner is killed",
    tasks: 50,
    injectFault: killOwnerAfterEnds,
  },
  {
    name: "before all nodes are killed",
    tasks: 50,
    injectFault: (cluster) => {
      const { store, nodeIds, clock } = cluster;
      nodeIds.forEach((id) => store.faults.refused.add(id));
      clock.after(400, () => {
        store.faults.refused.clear();
        nodeIds.forEach((id) => cluster.kill(id));
      });
    },
  },
  {
    name: "before the owner stops",
    tasks: 50,
    injectFault: (cluster) =>
      cluster.clock.after(200, () => cluster.stop(cluster.owner!)),
  },
];

const SMALL = { ...NO_RESOURCES, cpuMillis: 50 };

/** Runs more tasks on each worker than one of its lists holds ends. */
function runEndsCase({ tasks, injectFault }: EndsCase, seed: number) {
  const cluster = new DomainCluster({
    seed,
    workers: WORKERS,
    needsPermits: false,
  });
  const { clock, workers, nodeIds } = cluster;
  for (const { faults } of workers.values()) {
    faults.endsPerList = ENDS_PER_LIST;
  }
  clock.runUntil(WARM_UP_MS);
  cluster.submit(jobIdOf(0), {
    payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
    stages: [stageSpec({ tasks, size: SMALL, estimateMs: RUN_MS })],
  }, nodeIds[0]!);
  clock.runUntil(clock.now + RUN_MS - 200);
  expect(cluster.runs).to.have.length(tasks);
  injectFault(cluster);
  return cluster;
}

describe("tasks of which more end than a worker lists at a time", () => {
  for (const testCase of CASES) {
    for (const seed of SEEDS) {
      it(`run once if they end ${testCase.name}, seed ${seed}`, () => {
        const cluster = runEndsCase(testCase, seed);
        const { clock, runs } = cluster;
        clock.runUntil(clock.now + SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
        expect(jobState(cluster, jobIdOf(0))).to.equal(
          StagedJobState.Completed,
        );
        expect(runs).to.have.length(testCase.tasks);
      });
    }
  }

  // Guards against a worker whose full list keeps a lost start unknown, while
  // the unknown start keeps its ends from being acknowledged.
  for (const { endsPerList, cancelsEvery } of LOST_START_CASES) {
    const name = `run though starts get lost, ${endsPerList} ends a list` +
      (cancelsEvery === Infinity ? "" : ", and jobs are cancelled");
    it(name, () => {
      const cluster = new DomainCluster({
        seed: 1,
        workers: WORKERS,
        needsPermits: false,
      });
      const { clock, workers, nodeIds } = cluster;
      clock.runUntil(WARM_UP_MS);
      for (const { faults } of workers.values()) {
        faults.endsPerList = endsPerList;
        for (let ms = 0; ms < LOAD_MS; ms += 500) {
          clock.after(ms, () => faults.losesStarts = ms % 1_000 === 0);
        }
      }
      cluster.submitSteadily({
        jobsPerS: 20,
        forMs: LOAD_MS,
        spec: {
          payload: createTaskPayload({ runMs: 300, failures: 0 }),
          stages: [stageSpec({ tasks: 2, size: SMALL, estimateMs: 300 })],
        },
      });
      for (let job = 0; job < LOAD_MS / 50; job += cancelsEvery) {
        clock.after(
          job * 50 + CANCEL_AFTER_MS,
          () => cluster.cancel(jobIdOf(job), nodeIds[0]!),
        );
      }
      clock.runUntil(clock.now + LOAD_MS + SETTLE_MS);
      const lost = [...workers.values()].map(({ lostStarts }) => lostStarts);
      expect(Math.max(...lost)).to.be.above(0);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }

  it("keep their workers from new tasks no longer than their ends need", () => {
    const cluster = runEndsCase({
      name: "",
      tasks: 50,
      injectFault: killOwnerAfterEnds,
    }, 1);
    const { clock, runs, nodeIds } = cluster;
    clock.runUntil(clock.now + 500);
    const killedMs = clock.now;
    cluster.submit(jobIdOf(1), {
      payload: createTaskPayload({ runMs: 100, failures: 0 }),
      stages: [stageSpec({ tasks: 4, size: SMALL })],
    }, nodeIds.find((id) => id !== cluster.owner)!);
    clock.runUntil(clock.now + SETTLE_MS);
    const startsMs = runs.filter(({ task }) => task.startsWith(jobIdOf(1)))
      .map(({ startMs }) => startMs - killedMs);
    expect(startsMs).to.have.length(4);
    expect(Math.max(...startsMs)).to.be.below(USABLE_MS);
  });
});
