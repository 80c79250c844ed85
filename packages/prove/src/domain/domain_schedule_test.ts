import { StagedJobState } from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations, jobState } from "./domain_oracle.ts";
import { MANY_NODES, WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];
const JOBS = 3;
const OCCURRENCES = 20;
const INTERVAL_MS = 500;
const TASKS = 2;
const RUN_MS = 900;
/** Time from the first due time to the fault, in milliseconds. */
const FAULT_AFTER_MS = 4_000;
const SETTLE_MS = 40_000;

interface TakeoverCase {
  readonly name: string;
  readonly nodes?: number;
  readonly injectFault: (cluster: DomainCluster) => void;
}

function losePower(nodes: number, forMs: number): TakeoverCase {
  return {
    name: `all of ${nodes} nodes are without power for ${forMs} ms`,
    nodes,
    injectFault: (cluster) =>
      cluster.nodeIds.forEach((id) => cluster.kill(id, forMs)),
  };
}

/** Sets the time of day of all nodes back and kills the owner. */
function setBackClocks(byMs: number): TakeoverCase {
  return {
    name: `the clock of the successor is ${byMs} ms behind`,
    injectFault: (cluster) => {
      for (const id of cluster.nodeIds) {
        cluster.store.faults.clockErrorsMs.set(id, -byMs);
      }
      cluster.kill(cluster.owner!);
    },
  };
}

const TAKEOVERS: readonly TakeoverCase[] = [
  { name: "nothing happens", injectFault: () => {} },
  {
    name: "the owner is killed",
    injectFault: (cluster) => cluster.kill(cluster.owner!),
  },
  losePower(3, 500),
  losePower(4, 1_000),
  losePower(MANY_NODES, 1_000),
  losePower(MANY_NODES, 2_000),
  setBackClocks(3_000),
  setBackClocks(8_000),
];

// Guards against ends of a scheduled job that are acknowledged and forgotten by
// an owner whose time of day isn't known or is behind that of the former owner.
describe("the tasks of a scheduled job", () => {
  for (const { name, nodes = 4, injectFault } of TAKEOVERS) {
    for (const seed of SEEDS) {
      it(`run once each when ${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({ seed, nodes, workers: 8 });
        const { clock, store, nodeIds } = cluster;
        clock.runUntil(2 * WARM_UP_MS);
        for (let index = 0; index < JOBS; index++) {
          cluster.submit(jobIdOf(index), {
            payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
            stages: [stageSpec({ tasks: TASKS, estimateMs: RUN_MS })],
            schedule: {
              firstDueMs: store.unixMs + 500,
              intervalMs: INTERVAL_MS,
              occurrences: OCCURRENCES,
            },
          }, nodeIds[0]!);
        }
        clock.runUntil(clock.now + FAULT_AFTER_MS);
        injectFault(cluster);
        clock.runUntil(clock.now + SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
        for (let index = 0; index < JOBS; index++) {
          expect(jobState(cluster, jobIdOf(index)))
            .to.equal(StagedJobState.Completed);
        }
        const done = cluster.runs.filter(({ acknowledgedMs }) =>
          acknowledgedMs !== undefined
        );
        expect(done.length).to.be.at.least(JOBS * OCCURRENCES * TASKS);
      });
    }
  }
});
