import {
  type FrontAnswer,
  FrontAnswerKind,
  FrontCallKind,
} from "@mustardweir/protocol";
import { NO_RESOURCES } from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { MANY_NODES, WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];
const JOBS = 20;
const ASK_EVERY_MS = 100;
const ASK_MS = 14_000;
/** Age that a number may have, and the time of a call, in milliseconds. */
const MAX_AGE_MS = 2_000;
const CALL_MS = 1_100;
/** Longest time until jobs start again though all copies were lost, in ms. */
const RECOVERY_LIMIT_MS = 7_000;

interface WaitingCase {
  readonly name: string;
  readonly nodes: number;
  readonly injectFault: (cluster: DomainCluster) => void;
  /** Whether jobs wait because no worker has room, rather than for an owner. */
  readonly isFull?: boolean;
  /** Longest time after the fault in which calls are refused, in milliseconds. */
  readonly refusedForMs: number;
}

function killStandbys(restartMs: number): WaitingCase["injectFault"] {
  return (cluster) =>
    cluster.standbys.forEach((id) => cluster.kill(id, restartMs));
}

const CASES: readonly WaitingCase[] = [
  {
    name: "nothing is wrong and no worker has room",
    nodes: 6,
    isFull: true,
    injectFault: () => {},
    refusedForMs: 0,
  },
  {
    name: "all copies of the records are lost",
    nodes: 6,
    injectFault: killStandbys(9_500),
    refusedForMs: RECOVERY_LIMIT_MS,
  },
  {
    name: "all copies of the records among many nodes are lost",
    nodes: MANY_NODES,
    injectFault: killStandbys(9_500),
    refusedForMs: RECOVERY_LIMIT_MS,
  },
  {
    name: "all copies of the records are lost for a second",
    nodes: 6,
    injectFault: killStandbys(1_000),
    refusedForMs: RECOVERY_LIMIT_MS,
  },
  {
    name: "the owner is killed and no worker has room",
    nodes: 6,
    isFull: true,
    injectFault: (cluster) => cluster.kill(cluster.owner!),
    refusedForMs: 0,
  },
  {
    name: "the owner is cut off and no worker has room",
    nodes: 6,
    isFull: true,
    injectFault: ({ owner, store, clock }) => {
      store.faults.silent.add(owner!);
      clock.after(8_000, () => store.faults.silent.clear());
    },
    refusedForMs: 8_000,
  },
  {
    name: "the store is silent to all and no worker has room",
    nodes: 6,
    isFull: true,
    injectFault: ({ nodeIds, store, clock }) => {
      nodeIds.forEach((id) => store.faults.silent.add(id));
      clock.after(5_000, () => store.faults.silent.clear());
    },
    refusedForMs: 9_000,
  },
];

interface Told {
  readonly askedMs: number;
  readonly answeredMs: number;
  readonly answer: FrontAnswer;
}

/** Submits jobs after the fault; returns the times of their acceptance. */
function submitJobs(cluster: DomainCluster): Map<string, number> {
  const accepted = new Map<string, number>();
  const { followers, clock } = cluster;
  for (let index = 0; index < JOBS; index++) {
    const jobId = jobIdOf(100 + index);
    cluster.submit(jobId, {
      payload: createTaskPayload({ runMs: 500, failures: 0 }),
      stages: [stageSpec({ tasks: 1 })],
    }, followers[index % followers.length]!);
    const check = () => {
      const { answers } = cluster.clients.get(jobId)!;
      if (answers.some(({ kind }) => kind === FrontAnswerKind.Accepted)) {
        accepted.set(jobId, clock.now);
      } else if (answers.length === 0) {
        clock.after(10, check);
      }
    };
    clock.after(10, check);
  }
  return accepted;
}

/** Asks all nodes that run for the number of waiting jobs. */
function askAll(cluster: DomainCluster, nodes: readonly string[]): Told[] {
  const told: Told[] = [];
  const { clock } = cluster;
  const endMs = clock.now + ASK_MS;
  const ask = () => {
    for (const node of nodes) {
      const askedMs = clock.now;
      cluster.call(
        node,
        FrontCallKind.Status,
        "",
        (answer) => told.push({ askedMs, answeredMs: clock.now, answer }),
      );
    }
    if (clock.now < endMs) {
      clock.after(ASK_EVERY_MS, ask);
    }
  };
  ask();
  clock.runUntil(endMs + 2 * CALL_MS);
  return told;
}

function runCase({ nodes, isFull, injectFault }: WaitingCase, seed: number) {
  const cluster = new DomainCluster({ seed, nodes, needsPermits: false });
  const { clock, nodeIds, runs } = cluster;
  clock.runUntil(2 * WARM_UP_MS);
  if (isFull) {
    cluster.submit(jobIdOf(0), {
      payload: createTaskPayload({ runMs: 60_000, failures: 0 }),
      stages: [stageSpec({ tasks: 24, estimateMs: 60_000 })],
    }, nodeIds[0]!);
    clock.runUntil(clock.now + 1_500);
  }
  const { followers } = cluster;
  const faultMs = clock.now;
  const accepted = submitJobs(cluster);
  if (isFull) {
    clock.runUntil(clock.now + 100);
  }
  injectFault(cluster);
  const told = askAll(cluster, followers);
  const waitingAt = (atMs: number, acceptedBeforeMs: number) =>
    [...accepted].filter(([jobId, acceptedMs]) =>
      acceptedMs <= acceptedBeforeMs &&
      !runs.some(({ task, startMs }) =>
        task.startsWith(jobId) && startMs <= atMs
      )
    ).length;
  return { cluster, faultMs, told, waitingAt };
}

// Guards against a count by a summary that is too old: nodes without a copy of
// the records told callers that nothing waits.
describe("the number of waiting jobs", () => {
  for (const testCase of CASES) {
    for (const seed of SEEDS) {
      it(`is right or refused when ${testCase.name}, seed ${seed}`, () => {
        const { faultMs, told, waitingAt } = runCase(testCase, seed);
        expect(told).not.to.have.length(0);
        const wrong = told.filter(({ answer, answeredMs, askedMs }) =>
          answer.kind === FrontAnswerKind.Waiting &&
          answer.waiting < waitingAt(answeredMs, askedMs - MAX_AGE_MS)
        );
        expect(wrong).to.deep.equal([]);
        const refused = told.filter(({ answer }) =>
          answer.kind !== FrontAnswerKind.Waiting
        );
        const lastMs = Math.max(
          faultMs,
          ...refused.map(({ askedMs }) => askedMs),
        );
        expect(lastMs - faultMs).to.be.at.most(testCase.refusedForMs);
        for (const { askedMs, answeredMs } of told) {
          expect(answeredMs - askedMs).to.be.at.most(CALL_MS);
        }
      });
    }
  }
});

describe("a domain that has lost all copies of its records", () => {
  for (const nodes of [5, 6, MANY_NODES]) {
    for (const seed of SEEDS) {
      it(`starts jobs in time, ${nodes} nodes, seed ${seed}`, () => {
        const { cluster, faultMs } = runCase({
          name: "",
          nodes,
          injectFault: killStandbys(30_000),
          refusedForMs: 0,
        }, seed);
        cluster.clock.runUntil(cluster.clock.now + 20_000);
        expect(findViolations(cluster)).to.deep.equal([]);
        const firstMs = Math.min(
          ...cluster.runs.map(({ startMs }) => startMs)
            .filter((startMs) => startMs > faultMs),
        );
        expect(firstMs - faultMs).to.be.below(RECOVERY_LIMIT_MS);
      });
    }
  }

  it("refuses no job by the workers that it had before", () => {
    const cluster = new DomainCluster({
      seed: 1,
      nodes: 6,
      needsPermits: false,
    });
    const { clock } = cluster;
    clock.runUntil(2 * WARM_UP_MS);
    const { followers } = cluster;
    killStandbys(30_000)(cluster);
    cluster.setCapacity("w0", 16_000);
    clock.runUntil(clock.now + 4_300);
    cluster.submit(jobIdOf(1), {
      payload: createTaskPayload({ runMs: 500, failures: 0 }),
      stages: [stageSpec({
        tasks: 1,
        size: { ...NO_RESOURCES, cpuMillis: 12_000 },
      })],
    }, followers[0]!);
    clock.runUntil(clock.now + 20_000);
    expect(cluster.clients.get(jobIdOf(1))!.answers.map(({ kind }) => kind))
      .to.deep.equal([FrontAnswerKind.Accepted]);
    expect(cluster.runs).to.have.length(1);
  });
});
