import { AttemptEnd } from "@mustardweir/protocol";
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
const FULL_CPU = 4_000;
const SMALL_CPU = 1_000;
const JOBS = 60;
const JOB_GAP_MS = 150;
const RUN_MS = 1_500;
/** Time for which the capacity is small, in milliseconds. */
const SMALL_MS = 12_000;
const SETTLE_MS = 60_000;
/** Time in which an owner that follows the workers knows a change, in ms. */
const KNOWN_MS = 600;

interface CapacityCase {
  readonly name: string;
  /** Called before the capacity shrinks. */
  readonly before?: (cluster: DomainCluster) => void;
  /** Called just after it has shrunk. */
  readonly after?: (cluster: DomainCluster) => void;
  /** Whether the owner knows the small figure at once. */
  readonly isKnown: boolean;
  /** Whether tasks are stopped on purpose. */
  readonly stopsTasks?: boolean;
}

function cutFromWorkers(
  { store, clock }: DomainCluster,
  nodes: readonly string[],
): void {
  nodes.forEach((id) => store.faults.cutFromWorkers.add(id));
  clock.after(SMALL_MS - 1_000, () => store.faults.cutFromWorkers.clear());
}

const CASES: readonly CapacityCase[] = [
  { name: "tasks run", isKnown: true },
  {
    name: "tasks are being stopped",
    isKnown: true,
    stopsTasks: true,
    after: (cluster) => {
      for (const jobId of [...cluster.clients.keys()].slice(-8)) {
        cluster.cancel(jobId, cluster.nodeIds[1]!);
      }
    },
  },
  {
    name: "the owner is killed",
    isKnown: true,
    after: (cluster) => cluster.kill(cluster.owner!),
  },
  {
    name: "all nodes are killed",
    isKnown: true,
    after: (cluster) => cluster.nodeIds.forEach((id) => cluster.kill(id)),
  },
  {
    name: "the owner hears of the workers by way of another node only",
    isKnown: false,
    before: (cluster) => cutFromWorkers(cluster, [cluster.owner!]),
  },
  {
    name: "no node hears anything of the workers",
    isKnown: false,
    before: (cluster) => cutFromWorkers(cluster, cluster.nodeIds),
  },
  {
    name: "no node hears anything of the workers and the owner is paused",
    isKnown: false,
    before: (cluster) => cutFromWorkers(cluster, cluster.nodeIds),
    after: (cluster) => cluster.pause(cluster.owner!, 4_000),
  },
  {
    name: "the owner is killed and its successor hears nothing of the workers",
    isKnown: false,
    before: (cluster) => cutFromWorkers(cluster, cluster.nodeIds),
    after: (cluster) => cluster.kill(cluster.owner!),
  },
];

describe("a capacity that shrinks and grows while", () => {
  for (const { name, before, after, isKnown, stopsTasks } of CASES) {
    for (const seed of SEEDS) {
      it(`${name} is kept to, seed ${seed}`, () => {
        const cluster = new DomainCluster({ seed, needsPermits: false });
        const { clock, runs, nodeIds, workers } = cluster;
        clock.runUntil(WARM_UP_MS);
        for (let index = 0; index < JOBS; index++) {
          clock.after(index * JOB_GAP_MS, () =>
            cluster.submit(jobIdOf(index), {
              payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
              stages: [stageSpec({ tasks: 4 })],
            }, nodeIds[index % nodeIds.length]!));
        }
        clock.runUntil(clock.now + 2_000);
        const shrinking = [...workers.keys()].slice(0, 3);
        before?.(cluster);
        const shrunkMs = clock.now;
        shrinking.forEach((id) => cluster.setCapacity(id, SMALL_CPU));
        clock.after(
          SMALL_MS,
          () => shrinking.forEach((id) => cluster.setCapacity(id, FULL_CPU)),
        );
        after?.(cluster);
        clock.runUntil(clock.now + SETTLE_MS);
        expect(findViolations(cluster)).to.deep.equal([]);
        if (stopsTasks !== true) {
          expect(runs.filter(({ end }) => end === AttemptEnd.Stopped))
            .to.deep.equal([]);
        }
        const grown = runs.filter(({ startMs, workerId }) =>
          shrinking.includes(workerId) && startMs > shrunkMs + SMALL_MS
        );
        expect(grown).not.to.have.length(0);
        for (const run of isKnown ? runs : []) {
          const isSmall = shrinking.includes(run.workerId) &&
            run.startMs > shrunkMs + KNOWN_MS &&
            run.startMs < shrunkMs + SMALL_MS;
          const beside = runs.filter(({ workerId, startMs, endMs }) =>
            workerId === run.workerId && startMs <= run.startMs &&
            (endMs ?? Infinity) > run.startMs
          );
          expect(isSmall ? beside.length : 0).to.be.at.most(1);
        }
      }).timeout(60_000);
    }
  }
});

interface GapCase {
  readonly name: string;
  /** Time for which no node hears of the workers, in milliseconds. */
  readonly cutMs: number;
  /** Longest time between two starts, in milliseconds. */
  readonly maxGapMs: number;
}

const GAP_CASES: readonly GapCase[] = [
  { name: "a reply about the workers", cutMs: 100, maxGapMs: 400 },
  {
    name: "all replies about the workers for 1 s",
    cutMs: 1_000,
    maxGapMs: 400,
  },
];

describe("starts don't pause for", () => {
  for (const { name, cutMs, maxGapMs } of GAP_CASES) {
    for (const seed of SEEDS) {
      it(`the loss of ${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({ seed, needsPermits: false });
        const { clock, runs, nodeIds, store } = cluster;
        clock.runUntil(WARM_UP_MS);
        cluster.submitSteadily({
          jobsPerS: 10,
          forMs: 8_000,
          spec: {
            payload: createTaskPayload({ runMs: 300, failures: 0 }),
            stages: [stageSpec({ tasks: 1 })],
          },
        });
        clock.runUntil(clock.now + 1_500);
        nodeIds.forEach((id) => store.faults.cutFromWorkers.add(id));
        clock.runUntil(clock.now + cutMs);
        store.faults.cutFromWorkers.clear();
        clock.runUntil(clock.now + SETTLE_MS);
        const starts = runs.map(({ startMs }) => startMs);
        const gaps = starts.slice(1).map((startMs, index) =>
          startMs - starts[index]!
        );
        expect(Math.max(...gaps)).to.be.below(maxGapMs);
      });
    }
  }
});
