import { WorkerState } from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];
/** Run time of the task during which the worker is drained, in milliseconds. */
const DRAINED_RUN_MS = 2_000;
const RUN_MS = 10_000;
/** Tasks that fill all other workers, so that the next go to this one. */
const FILLING = { tasks: 20, runMs: 500 };
const SETTLE_MS = 45_000;
/** Time in which a worker's state is read and recorded, in milliseconds. */
const RECORDED_MS = 1_500;

interface ReopeningCase {
  readonly name: string;
  /** Called while the worker is closed, before it is in use again. */
  readonly before: (cluster: DomainCluster) => void;
  /** Called once it has been in use again for {@link RECORDED_MS}. */
  readonly after: (cluster: DomainCluster) => void;
}

/** Cuts all nodes but the owner off from the store and from the owner. */
function setCutOff(cluster: DomainCluster, isCutOff: boolean): void {
  const { store: { faults }, nodeIds } = cluster;
  const owner = cluster.owner!;
  for (const id of nodeIds.filter((node) => node !== owner)) {
    cluster.setLinkDown(id, owner, isCutOff);
    if (isCutOff) {
      faults.refused.add(id);
    } else {
      faults.refused.delete(id);
    }
  }
}

const CASES: readonly ReopeningCase[] = [
  { name: "all nodes follow the records", before: () => {}, after: () => {} },
  {
    name: "its successors list the records anew",
    before: (cluster) => setCutOff(cluster, true),
    after: (cluster) => {
      cluster.store.compactHistory();
      setCutOff(cluster, false);
    },
  },
];

function submitTasks(
  cluster: DomainCluster,
  { job, tasks, runMs }: {
    readonly job: number;
    readonly tasks: number;
    readonly runMs: number;
  },
): void {
  cluster.submit(jobIdOf(job), {
    payload: createTaskPayload({ runMs, failures: 0 }),
    stages: [stageSpec({ tasks, estimateMs: runMs })],
  }, cluster.owner!);
}

describe("a job started on a worker that was out of use before", () => {
  for (const { name, before, after } of CASES) {
    for (const seed of SEEDS) {
      it(`runs once after its owner is killed if ${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({ seed });
        const { clock, runs, workers, store, nodeIds } = cluster;
        clock.runUntil(WARM_UP_MS);
        submitTasks(cluster, { job: 0, tasks: 1, runMs: DRAINED_RUN_MS });
        clock.runUntil(clock.now + 1_000);
        const { workerId } = runs[0]!;
        const { info, faults } = workers.get(workerId)!;
        store.setWorker(workerId, { ...info, state: WorkerState.Draining });
        clock.runUntil(clock.now + RECORDED_MS);
        before(cluster);
        store.setWorker(workerId, info);
        clock.runUntil(clock.now + RECORDED_MS);
        after(cluster);
        clock.runUntil(clock.now + RECORDED_MS);
        submitTasks(cluster, { job: 1, ...FILLING });
        submitTasks(cluster, { job: 2, tasks: 4, runMs: RUN_MS });
        clock.runUntil(clock.now + 1_000);
        const onWorker = runs.filter((run) => run.workerId === workerId);
        expect(onWorker).to.have.length.above(1);
        nodeIds.forEach((node) => faults.unreachableFrom.add(node));
        cluster.kill(cluster.owner!, SETTLE_MS);
        clock.runUntil(clock.now + SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
      });
    }
  }
});
