import "./plugins.ts";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";

const SEEDS = [1, 2, 3];
/** Time for which the owner has owned the domain before, in milliseconds. */
const TENURE_MS = 20_000;
/** Run time of tasks that outlast the leases of both, in milliseconds. */
const RUN_MS = 14_000;
/** So few that all of them have room on half of the workers. */
const JOBS = 12;
/** Time for which all jobs run before the later process starts, in ms. */
const BEFORE_MS = 1_500;
const SETTLE_MS = 90_000;
/** One takeover from the earlier process is due at most. */
const MAX_EPOCH = 2;
/** Workers that only the earlier process reaches. */
const REACHED_BY_EARLIER = ["w1", "w4"];

interface TwoProcessesCase {
  readonly name: string;
  /** Time for which the earlier process is paused meanwhile, in ms; 0 if absent. */
  readonly pauseMs?: number;
  /** Sets faults when the later process has just started. */
  readonly injectFault?: (cluster: DomainCluster, earlier: string) => void;
}

const CASES: readonly TwoProcessesCase[] = [
  { name: "runs on" },
  { name: "is paused for a moment", pauseMs: 700 },
  { name: "is paused for longer", pauseMs: 3_000 },
  { name: "is cut off from the store", injectFault: cutOffFromStore },
  {
    name: "is cut off from the store and other workers",
    injectFault: (cluster, earlier) => {
      cutOffFromStore(cluster, earlier);
      cluster.workers.forEach(({ faults: { unreachableFrom } }, id) => {
        if (!REACHED_BY_EARLIER.includes(id)) {
          unreachableFrom.add(earlier);
        }
      });
    },
  },
  {
    name: "is cut off from the store and another node takes over",
    injectFault: (cluster, earlier) => {
      cutOffFromStore(cluster, earlier);
      // The later process registers but can't claim.
      cluster.store.faults.cutFromDomain.add(nodeOf(earlier));
    },
  },
];

function cutOffFromStore({ store }: DomainCluster, earlier: string): void {
  store.faults.silent.add(earlier);
}

function nodeOf(incarnation: string): string {
  return incarnation.slice(0, incarnation.indexOf("-"));
}

// Guards against a node's id that is taken for the identity of a process: the
// earlier one of two grants leases for longer than the later one waits.
describe("tasks run once though a node's earlier process", () => {
  for (const { name, pauseMs = 0, injectFault } of CASES) {
    for (const seed of SEEDS) {
      it(`${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({ seed, needsPermits: false });
        const { clock, workers, nodeIds } = cluster;
        clock.runUntil(TENURE_MS);
        const owner = cluster.owner!;
        const earlier = cluster.processOf(owner)!;
        for (let index = 0; index < JOBS; index++) {
          cluster.submit(jobIdOf(index), {
            payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
            stages: [stageSpec({ tasks: 1, estimateMs: RUN_MS })],
          }, nodeIds[index % nodeIds.length]!);
        }
        clock.runUntil(clock.now + BEFORE_MS);
        if (pauseMs > 0) {
          cluster.pause(owner, pauseMs);
        }
        cluster.startNode(owner, {
          peerAddress: `${owner}:2`,
          besideEarlier: true,
        });
        for (const id of REACHED_BY_EARLIER) {
          const { unreachableFrom } = workers.get(id)!.faults;
          nodeIds.forEach((node) => unreachableFrom.add(node));
          clock.after(SETTLE_MS, () => unreachableFrom.clear());
        }
        injectFault?.(cluster, earlier);
        clock.runUntil(clock.now + 2 * SETTLE_MS);
        expect(cluster.epoch).to.be.at.most(MAX_EPOCH);
        expect(findViolations(cluster)).to.deep.equal([]);
      });
    }
  }
});
