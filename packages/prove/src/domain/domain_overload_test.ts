import { NO_RESOURCES } from "@mustardweir/model";
import { FrontAnswerKind } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  type DomainClusterOptions,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { MANY_NODES, WARM_UP_MS } from "./domain_scenarios.ts";

/** Run time of each of a job's three tasks, in milliseconds. */
const RUN_MS = 500;
/** Six workers of four cores run 16 such jobs a second. */
const JOBS_PER_S = 48;
const BURST_S = 10;
/** Time after the burst until a new job is of use again, in milliseconds. */
const DRAIN_MS = 12_000;
/** Jobs are of no use after 3 x (1.5 x 0.5 s + 0.25 s), in milliseconds. */
const USEFUL_MS = 3_000;

interface OverloadCase {
  readonly name: string;
  readonly options: Omit<DomainClusterOptions, "seed">;
  /** Bounds of the share of jobs that are turned away. */
  readonly minTurnedAway: number;
  readonly maxTurnedAway: number;
}

const CASES: readonly OverloadCase[] = [
  {
    name: "is turned away truly and soon by a few nodes",
    options: { nodes: 4 },
    // What the workers can't do by the end of the burst and within its use.
    minTurnedAway: 0.25,
    maxTurnedAway: 0.67,
  },
  {
    name: "is turned away truly and soon by many nodes",
    options: { nodes: MANY_NODES },
    minTurnedAway: 0.25,
    maxTurnedAway: 0.67,
  },
  {
    name: "is not turned away while the team's ceiling leaves workers idle",
    options: { nodes: 4, ceiling: { ...NO_RESOURCES, cpuMillis: 6_000 } },
    minTurnedAway: 0,
    maxTurnedAway: 0,
  },
];

function submitAt(cluster: DomainCluster, index: number, delayMs: number) {
  const { nodeIds, clock } = cluster;
  clock.after(delayMs, () =>
    cluster.submit(
      jobIdOf(index),
      {
        payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
        stages: [stageSpec({ estimateMs: RUN_MS })],
      },
      nodeIds[index % nodeIds.length]!,
    ));
}

/** Returns the ids of the jobs whose last answer is of this kind. */
function jobsAnswered(cluster: DomainCluster, kind: FrontAnswerKind): string[] {
  return [...cluster.clients.values()]
    .filter(({ answers }) => answers.at(-1)?.kind === kind)
    .map(({ jobId }) => jobId);
}

describe("a burst that outlasts its own use", () => {
  for (const { name, options, minTurnedAway, maxTurnedAway } of CASES) {
    it(name, () => {
      const cluster = new DomainCluster({ seed: 1, ...options });
      const { clock, runs } = cluster;
      clock.runUntil(WARM_UP_MS);
      const jobs = JOBS_PER_S * BURST_S;
      for (let index = 0; index < jobs; index++) {
        submitAt(cluster, index, index * 1_000 / JOBS_PER_S);
      }
      clock.runUntil(clock.now + BURST_S * 1_000 + DRAIN_MS);
      const turnedAway = jobsAnswered(cluster, FrontAnswerKind.Overloaded);
      const accepted = jobsAnswered(cluster, FrontAnswerKind.Accepted);
      expect(turnedAway.length + accepted.length).to.equal(jobs);
      expect(turnedAway.length / jobs).to.be.within(
        minTurnedAway,
        maxTurnedAway,
      );
      const ran = new Set(runs.map(({ task }) => task.split(".")[0]!));
      expect(turnedAway.filter((jobId) => ran.has(jobId))).to.deep.equal([]);
      if (minTurnedAway > 0) {
        expect(accepted.filter((jobId) => !ran.has(jobId))).to.deep.equal([]);
        const laterMs = clock.now;
        submitAt(cluster, jobs, 0);
        clock.runUntil(laterMs + USEFUL_MS);
        expect(jobsAnswered(cluster, FrontAnswerKind.Accepted))
          .to.include(jobIdOf(jobs));
      }
    });
  }
});
