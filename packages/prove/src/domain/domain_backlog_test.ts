import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  NIGHTLY_PREFIX,
  stageSpec,
} from "./domain_cluster.ts";
import { MANY_NODES, WARM_UP_MS } from "./domain_scenarios.ts";

/** Run time of the tasks that fill all workers during the measurement, in ms. */
const LONG_RUN_MS = 120_000;
/** Time in which the jobs are accepted, in virtual milliseconds. */
const ACCEPTANCE_MS = 8_000;
/** Measured span, in virtual milliseconds. */
const MEASURED_MS = 5_000;
/** Processor time of the shorter of two measurements, for slow machines, in ms. */
const MIN_BASE_MS = 100;

/** Six workers of four cores run tasks of one core. */
const TASKS_ON_FULL_WORKERS = 24;

interface BacklogCase {
  readonly name: string;
  readonly needsPermits: boolean;
  readonly few: number;
  readonly many: number;
  /** Largest cost of a second with many waiting jobs relative to few. */
  readonly maxRatio: number;
}

const CASES: readonly BacklogCase[] = [
  {
    name: "without permits",
    needsPermits: false,
    few: 200,
    many: 3_000,
    maxRatio: 4,
  },
  {
    name: "with permits",
    needsPermits: true,
    few: 200,
    many: 3_000,
    maxRatio: 4,
  },
];

/**
 * Returns a cluster whose workers are full while `backlog` jobs of three tasks
 * wait.
 */
function fillCluster(backlog: number, needsPermits: boolean): DomainCluster {
  const cluster = new DomainCluster({ seed: 1, needsPermits, nodes: 2 });
  const { clock, nodeIds } = cluster;
  clock.runUntil(WARM_UP_MS);
  for (let index = 0; index < backlog; index++) {
    clock.after(
      index * ACCEPTANCE_MS / backlog,
      () =>
        cluster.submit(
          jobIdOf(index),
          {
            payload: createTaskPayload({ runMs: LONG_RUN_MS, failures: 0 }),
            stages: [stageSpec({ estimateMs: LONG_RUN_MS })],
          },
          nodeIds[index % nodeIds.length]!,
          NIGHTLY_PREFIX,
        ),
    );
  }
  clock.runUntil(clock.now + 2 * ACCEPTANCE_MS);
  return cluster;
}

/** Returns the processor time of a span of the simulation, in ms. */
function measureCost({ clock }: DomainCluster): number {
  const before = process.cpuUsage();
  clock.runUntil(clock.now + MEASURED_MS);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000;
}

describe("cost of jobs that wait", () => {
  for (const { name, needsPermits, few, many, maxRatio } of CASES) {
    it(`doesn't follow their number ${name}`, () => {
      const baseMs = measureCost(fillCluster(few, needsPermits));
      const cluster = fillCluster(many, needsPermits);
      const costMs = measureCost(cluster);
      expect(costMs).to.be.below(maxRatio * Math.max(baseMs, MIN_BASE_MS));
      expect(cluster.runs.length).to.equal(TASKS_ON_FULL_WORKERS);
    }).timeout(120_000);
  }
});

interface IdleCase {
  readonly name: string;
  readonly count: (cluster: DomainCluster, nodeId: string) => number;
  readonly maxPerS: number;
}

const IDLE_CASES: readonly IdleCase[] = [
  {
    name: "wakes rarely",
    count: (cluster, nodeId) => cluster.countWakeUps(nodeId),
    maxPerS: 15,
  },
  {
    name: "calls the store about once a second for each of two sources",
    count: (cluster, nodeId) => cluster.countFollowCalls(nodeId),
    maxPerS: 2.2,
  },
];

/** Time after which a node's first calls are over, in milliseconds. */
const SETTLED_MS = 8_000;
const FLEETS: readonly number[] = [MANY_NODES, 3 * MANY_NODES, 10 * MANY_NODES];
/** Largest difference between fleets of any size, relative to the smallest. */
const MAX_GROWTH = 1.2;

describe("a node without a copy of the records", () => {
  for (const { name, count, maxPerS } of IDLE_CASES) {
    it(`${name} while it has nothing to do`, () => {
      const cluster = new DomainCluster({ seed: 1, nodes: MANY_NODES });
      const { clock } = cluster;
      clock.runUntil(SETTLED_MS);
      const { followers } = cluster;
      expect(followers).to.have.length.above(0);
      const before = followers.map((id) => count(cluster, id));
      clock.runUntil(clock.now + MEASURED_MS);
      followers.forEach((id, index) => {
        const times = count(cluster, id) - before[index]!;
        expect(times * 1_000 / MEASURED_MS).to.be.at.most(maxPerS);
      });
    });
  }

  for (const nodes of FLEETS) {
    it(`reads as much from the store among ${nodes} nodes`, () => {
      const few = measureReads(MANY_NODES);
      expect(measureReads(nodes)).to.be.at.most(MAX_GROWTH * few);
    }).timeout(60_000);
  }
});

/** Returns the most changes that a node without a copy reads in a second. */
function measureReads(nodes: number): number {
  const cluster = new DomainCluster({ seed: 1, nodes });
  const { clock } = cluster;
  clock.runUntil(SETTLED_MS);
  const { followers } = cluster;
  expect(followers.length).to.equal(nodes - cluster.standbys.length);
  const before = followers.map((id) => cluster.countReadChanges(id));
  clock.runUntil(clock.now + MEASURED_MS);
  return Math.max(
    ...followers.map((id, index) =>
      (cluster.countReadChanges(id) - before[index]!) * 1_000 / MEASURED_MS
    ),
  );
}
