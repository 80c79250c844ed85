import { StagedJobState } from "@mustardweir/model";
import {
  type FrontAnswer,
  FrontAnswerKind,
  FrontCallKind,
} from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations, jobState } from "./domain_oracle.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { MANY_NODES, WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2];
const JOBS = 10;
const RUN_MS = 8_000;
/** Time from the submission to the queries, in milliseconds. */
const ASK_AFTER_MS = 5_000;
const SETTLE_MS = 40_000;

interface BeginCase {
  readonly name: string;
  /** Sets the faults of each worker before the jobs are submitted. */
  readonly disturb: (worker: DomainWorker) => void;
  /** Called a second after the jobs were submitted. */
  readonly injectFault?: (cluster: DomainCluster) => void;
  readonly state: StagedJobState;
  /** Whether each job is scheduled for now instead of at once. */
  readonly isScheduled?: boolean;
}

const turnAway = ({ faults }: DomainWorker) => {
  faults.isBusy = true;
};

const CASES: readonly BeginCase[] = [
  {
    name: "all starts are taken",
    disturb: () => {},
    state: StagedJobState.Running,
  },
  {
    name: "all starts are turned away",
    disturb: turnAway,
    state: StagedJobState.Pending,
  },
  {
    name: "all starts of scheduled jobs are turned away",
    disturb: turnAway,
    isScheduled: true,
    state: StagedJobState.Pending,
  },
  {
    name: "all starts are turned away and the owner is killed",
    disturb: turnAway,
    injectFault: (cluster) => cluster.kill(cluster.owner!),
    state: StagedJobState.Pending,
  },
  {
    name: "all starts are turned away and all nodes are killed",
    disturb: turnAway,
    injectFault: (cluster) => cluster.nodeIds.forEach((id) => cluster.kill(id)),
    state: StagedJobState.Pending,
  },
  {
    name: "all starts are lost on their way",
    disturb: ({ faults }) => {
      faults.losesStarts = true;
    },
    state: StagedJobState.Pending,
  },
  {
    name: "the replies to all starts are lost",
    disturb: ({ faults }) => {
      faults.losesStartReplies = true;
    },
    state: StagedJobState.Running,
  },
  {
    name: "the replies to all starts are lost and the owner is killed",
    disturb: ({ faults }) => {
      faults.losesStartReplies = true;
    },
    injectFault: (cluster) => cluster.kill(cluster.owner!),
    state: StagedJobState.Running,
  },
  {
    name: "all starts are taken and all workers fall silent",
    disturb: () => {},
    injectFault: ({ workers, nodeIds }) => {
      for (const { faults } of workers.values()) {
        nodeIds.forEach((id) => faults.unreachableFrom.add(id));
      }
    },
    state: StagedJobState.Running,
  },
];

/** Asks every node; returns the distinct answers. */
function askAll(cluster: DomainCluster, jobId: string): FrontAnswer[] {
  const answers = new Map<string, FrontAnswer>();
  for (const node of cluster.nodeIds) {
    cluster.call(
      node,
      FrontCallKind.Status,
      jobId,
      (answer) => answers.set(JSON.stringify(answer), answer),
    );
  }
  cluster.clock.runUntil(cluster.clock.now + 200);
  return [...answers.values()];
}

// Guards against jobs that are shown as running, and not counted as waiting,
// though no worker has taken a start of theirs.
describe("the state of a job", () => {
  for (const testCase of CASES) {
    const { name, disturb, injectFault, state, isScheduled = false } = testCase;
    for (const seed of SEEDS) {
      it(`is ${state} when ${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({
          seed,
          nodes: MANY_NODES,
          needsPermits: false,
        });
        const { clock, store, nodeIds, workers } = cluster;
        clock.runUntil(2 * WARM_UP_MS);
        workers.forEach(disturb);
        for (let index = 0; index < JOBS; index++) {
          cluster.submit(jobIdOf(index), {
            payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
            stages: [stageSpec({ tasks: 1, estimateMs: RUN_MS })],
            ...(isScheduled
              ? {
                schedule: {
                  firstDueMs: store.unixMs,
                  intervalMs: 1_000,
                  occurrences: 1,
                },
              }
              : {}),
          }, nodeIds[index]!);
        }
        clock.runUntil(clock.now + 1_000);
        injectFault?.(cluster);
        clock.runUntil(clock.now + ASK_AFTER_MS);
        expect(askAll(cluster, "")).to.deep.equal([{
          kind: FrontAnswerKind.Waiting,
          waiting: state === StagedJobState.Pending ? JOBS : 0,
        }]);
        for (let index = 0; index < JOBS; index++) {
          expect(askAll(cluster, jobIdOf(index))).to.deep.equal([{
            kind: FrontAnswerKind.State,
            state,
          }]);
        }
        for (const { faults } of workers.values()) {
          faults.isBusy = false;
          faults.losesStarts = false;
          faults.losesStartReplies = false;
          faults.unreachableFrom.clear();
        }
        clock.runUntil(clock.now + SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
        for (let index = 0; index < JOBS; index++) {
          expect(jobState(cluster, jobIdOf(index)))
            .to.equal(StagedJobState.Completed);
        }
      });
    }
  }
});
