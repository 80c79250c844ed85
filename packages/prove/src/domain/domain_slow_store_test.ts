import { StagedJobState } from "@mustardweir/model";
import { parseKey, readProgress, RecordKind } from "@mustardweir/replica";
import { FrontAnswerKind } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const WORKERS = 60;
const RUN_MS = 250;
const JOBS_PER_S = 60;
const TASKS_PER_JOB = 8;
/** Span of submissions while the store is slow, in milliseconds. */
const SLOW_MS = 6_000;
/** Time until the end of a job has to show, in milliseconds. */
const VISIBLE_MS = 3_000;

interface SlowStoreCase {
  readonly name: string;
  /** Duration of a call to the store, in milliseconds. */
  readonly callMs: number;
}

const CASES: readonly SlowStoreCase[] = [
  { name: "as fast as usual", callMs: 4 },
  { name: "25 times slower", callMs: 100 },
  { name: "85 times slower", callMs: 340 },
];

/** Returns jobs whose last task ended some time ago without a record of it. */
function listUnrecordedEnds(cluster: DomainCluster): string[] {
  const { clients, store, runs, clock } = cluster;
  const completed = new Set(
    [...store.records.values()].filter(({ key, value = "" }) =>
      parseKey(key)?.kind === RecordKind.Progress &&
      readProgress(value).map(({ state }) => state).unwrapOr(undefined) ===
        StagedJobState.Completed
    ).map(({ key }) => parseKey(key)!.name),
  );
  const doneTasks = new Map<string, number>();
  for (const { task, endMs = Infinity } of runs) {
    if (endMs < clock.now - VISIBLE_MS) {
      const jobId = task.split(".")[0]!;
      doneTasks.set(jobId, (doneTasks.get(jobId) ?? 0) + 1);
    }
  }
  return [...clients.keys()].filter((jobId) =>
    doneTasks.get(jobId) === TASKS_PER_JOB && !completed.has(jobId)
  );
}

/**
 * Most commits of an owner in a second: a quarter of what one part of the store
 * takes, which all nodes share.
 */
const MAX_COMMITS_PER_S = 250 / 4;

function countAccepted({ clients }: DomainCluster): number {
  return [...clients.values()].filter(({ answers }) =>
    answers[0]?.kind === FrontAnswerKind.Accepted
  ).length;
}

/** Returns a cluster that gets jobs for {@link SLOW_MS} from now on. */
function startLoad(callMs: number): DomainCluster {
  const cluster = new DomainCluster({
    seed: 1,
    workers: WORKERS,
    needsPermits: false,
  });
  const { clock, nodeIds, store } = cluster;
  clock.runUntil(WARM_UP_MS);
  store.faults.callMs = callMs;
  cluster.submitSteadily({
    jobsPerS: JOBS_PER_S,
    forMs: SLOW_MS,
    spec: {
      payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
      stages: [stageSpec({ tasks: TASKS_PER_JOB, estimateMs: RUN_MS })],
    },
    // The owner's commits are counted, without those of accepted jobs.
    nodes: nodeIds.filter((id) => id !== cluster.owner),
  });
  return cluster;
}

describe("ends of jobs while the store", () => {
  for (const { name, callMs } of CASES) {
    it(`is ${name} are recorded in time by few commits`, () => {
      const cluster = startLoad(callMs);
      const { clock } = cluster;
      const owner = cluster.owner!;
      const before = cluster.countCommits(owner);
      clock.runUntil(clock.now + SLOW_MS);
      expect(cluster.owner).to.equal(owner);
      expect((cluster.countCommits(owner) - before) * 1_000 / SLOW_MS)
        .to.be.at.most(MAX_COMMITS_PER_S);
      expect(listUnrecordedEnds(cluster)).to.deep.equal([]);
      clock.runUntil(clock.now + SLOW_MS);
      expect(countAccepted(cluster)).to.equal(cluster.clients.size);
      expect(listUnrecordedEnds(cluster)).to.deep.equal([]);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});
