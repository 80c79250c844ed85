import { type StagedJobSpec, StagedJobState } from "@mustardweir/model";
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
  type NodeProfile,
  stageSpec,
} from "./domain_cluster.ts";
import { MANY_NODES, WARM_UP_MS } from "./domain_scenarios.ts";

const SEEDS = [1, 2];
const DONE_JOB = jobIdOf(1);
const RUNNING_JOB = jobIdOf(2);
const UNKNOWN_JOB = jobIdOf(3);
/** Number of the first of the jobs that are submitted meanwhile. */
const FIRST_NEW_JOB = 100;
/** Time in which a job is accepted, in milliseconds. */
const ACCEPT_MS = 20;
const RUN_MS = 300;
const LONG_MS = 90_000;
/** Time until one job is done and the other runs, in milliseconds. */
const SETTLE_MS = 4_000;
/** Time in which every call is answered, in milliseconds. */
const ANSWER_MS = 2_400;
/** Time in which a process reads the desired state, in milliseconds. */
const READY_MS = 500;
const ASK_INTERVAL_MS = 200;
/** Time after the fault for which the nodes are asked, in milliseconds. */
const AFTER_MS = 6_000;
/** Time for which a caller asks again, in milliseconds. */
const PATIENCE_MS = 10_000;

const EXPECTED: Readonly<Record<string, FrontAnswer>> = {
  [DONE_JOB]: {
    kind: FrontAnswerKind.State,
    state: StagedJobState.Completed,
  },
  [RUNNING_JOB]: { kind: FrontAnswerKind.State, state: StagedJobState.Running },
  [UNKNOWN_JOB]: { kind: FrontAnswerKind.UnknownJob, reason: "No such job" },
};

interface AnswerCase {
  readonly name: string;
  readonly profileOf?: (index: number) => NodeProfile;
  /** Time before the jobs are submitted, in milliseconds. */
  readonly warmUpMs?: number;
  /** Injects the fault; returns a function that ends it. */
  readonly injectFault: (cluster: DomainCluster) => () => void;
  readonly forMs: number;
  /**
   * Whether a node may refuse to answer since neither it nor any peer may reach
   * the store, or several calls in a row may be lost. A caller asks again then.
   */
  readonly mayRefuse?: boolean;
}

const NO_END = () => {};

function specOf(runMs: number): StagedJobSpec {
  return {
    payload: createTaskPayload({ runMs, failures: 0 }),
    stages: [stageSpec({ estimateMs: runMs })],
  };
}

const CASES: readonly AnswerCase[] = [
  {
    name: "all nodes are killed",
    injectFault: (cluster) => {
      cluster.nodeIds.forEach((id) => cluster.kill(id));
      return NO_END;
    },
    forMs: 6_000,
  },
  {
    name: "the owner is killed",
    injectFault: (cluster) => {
      cluster.kill(cluster.owner!);
      return NO_END;
    },
    forMs: 6_000,
  },
  {
    name: "all nodes with a copy are lost and others begin to keep one",
    injectFault: (cluster) => {
      cluster.standbys.forEach((id) => cluster.kill(id, 25_000));
      return NO_END;
    },
    forMs: 26_000,
  },
  {
    name: "stronger nodes start and begin to keep a copy",
    profileOf: (index) => ({
      cores: index < MANY_NODES / 2 ? 0.3 : 1.35,
      startDelayMs: index < MANY_NODES / 2 ? 0 : 10_000,
    }),
    warmUpMs: 5_000,
    injectFault: ({ store }) => {
      store.faults.callMs = 100;
      return () => store.faults.callMs = 4;
    },
    forMs: 8_000,
  },
  {
    name: "the store refuses one node",
    injectFault: ({ followers, store }) => {
      store.faults.refused.add(followers[0]!);
      return () => store.faults.refused.clear();
    },
    forMs: 5_000,
  },
  {
    name: "the store is silent to one node",
    injectFault: ({ followers, store }) => {
      store.faults.silent.add(followers[0]!);
      return () => store.faults.silent.clear();
    },
    forMs: 5_000,
  },
  {
    name: "the store is silent to the owner",
    injectFault: ({ owner, store }) => {
      store.faults.silent.add(owner!);
      return () => store.faults.silent.clear();
    },
    forMs: 5_000,
  },
  {
    name: "the store is silent to all but one node with a copy",
    injectFault: ({ nodeIds, standbys, store }) => {
      nodeIds.filter((id) => id !== standbys.at(-1))
        .forEach((id) => store.faults.silent.add(id));
      return () => store.faults.silent.clear();
    },
    forMs: 5_000,
  },
  {
    name: "the store is silent to one node and two of its peers are killed",
    injectFault: (cluster) => {
      const { followers, standbys, owner, store, clock } = cluster;
      store.faults.silent.add(followers[0]!);
      clock.after(2_000, () =>
        standbys.filter((id) => id !== owner).slice(0, 2)
          .forEach((id) => cluster.kill(id, 3_000)));
      return () => store.faults.silent.clear();
    },
    forMs: 5_000,
  },
  {
    name: "the store is slow",
    injectFault: ({ store }) => {
      store.faults.callMs = 340;
      return () => store.faults.callMs = 4;
    },
    forMs: 4_000,
  },
  {
    name: "the history is gone and the store is slow",
    injectFault: ({ store, clock }) => {
      store.faults.callMs = 150;
      store.compactHistory();
      clock.after(1_000, () => store.compactHistory());
      return () => store.faults.callMs = 4;
    },
    forMs: 5_000,
  },
  {
    name: "10 of 100 reads are refused",
    injectFault: ({ store }) => {
      store.faults.failedReadShare = 0.1;
      return () => store.faults.failedReadShare = 0;
    },
    forMs: 5_000,
  },
  {
    name: "30 of 100 reads are refused",
    injectFault: ({ store }) => {
      store.faults.failedReadShare = 0.3;
      return () => store.faults.failedReadShare = 0;
    },
    forMs: 5_000,
  },
  {
    name: "10 of 100 reads are lost",
    injectFault: ({ store }) => {
      store.faults.lostReadShare = 0.1;
      return () => store.faults.lostReadShare = 0;
    },
    forMs: 5_000,
    mayRefuse: true,
  },
  {
    name: "30 of 100 reads are lost",
    injectFault: ({ store }) => {
      store.faults.lostReadShare = 0.3;
      return () => store.faults.lostReadShare = 0;
    },
    forMs: 5_000,
    mayRefuse: true,
  },
  {
    name: "the store is silent to one node and all its peers are killed",
    injectFault: (cluster) => {
      const { followers, standbys, store, clock } = cluster;
      store.faults.silent.add(followers[0]!);
      clock.after(
        2_000,
        () => standbys.forEach((id) => cluster.kill(id, 3_000)),
      );
      return () => store.faults.silent.clear();
    },
    forMs: 5_000,
    mayRefuse: true,
  },
  {
    name: "the store is silent to all",
    injectFault: ({ nodeIds, store }) => {
      nodeIds.forEach((id) => store.faults.silent.add(id));
      return () => store.faults.silent.clear();
    },
    forMs: 4_000,
    mayRefuse: true,
  },
  {
    name: "the store refuses all",
    injectFault: ({ nodeIds, store }) => {
      nodeIds.forEach((id) => store.faults.refused.add(id));
      return () => store.faults.refused.clear();
    },
    forMs: 4_000,
    mayRefuse: true,
  },
];

/** Whether the answer is right; a job that was just accepted has some state. */
function isRight(jobId: string, answer: FrontAnswer): boolean {
  const expected = EXPECTED[jobId];
  return expected === undefined
    ? answer.kind === FrontAnswerKind.State
    : JSON.stringify(answer) === JSON.stringify(expected);
}

/** Asks all nodes for jobs; collects what their callers may not see. */
class Callers {
  readonly problems: string[] = [];
  readonly #cluster: DomainCluster;
  readonly #mayRefuse: boolean;
  #isFirstRound = true;
  #newJobs = 0;
  /** By node: its process and when it was first asked, in milliseconds. */
  readonly #processes = new Map<string, { name: string; sinceMs: number }>();

  constructor(cluster: DomainCluster, mayRefuse: boolean) {
    this.#cluster = cluster;
    this.#mayRefuse = mayRefuse;
  }

  askAll(jobIds: readonly string[]): void {
    for (const node of this.#cluster.nodeIds) {
      if (this.#isReady(node)) {
        for (const jobId of jobIds) {
          this.#ask(node, jobId, this.#cluster.clock.now);
        }
      }
    }
    this.#isFirstRound = false;
  }

  /** Submits a job to a node and asks all for it as soon as it is accepted. */
  submitAndAsk(): void {
    const { clients, clock, nodeIds } = this.#cluster;
    const number = this.#newJobs++;
    const jobId = jobIdOf(FIRST_NEW_JOB + number);
    this.#cluster.submit(
      jobId,
      { ...specOf(RUN_MS), stages: [stageSpec({ tasks: 1 })] },
      nodeIds[number % nodeIds.length]!,
    );
    clock.after(ACCEPT_MS, () => {
      const { answers } = clients.get(jobId)!;
      if (answers[0]?.kind === FrontAnswerKind.Accepted) {
        this.askAll([jobId]);
      }
    });
  }

  /** Returns whether the node has run long enough to be sent callers. */
  #isReady(node: string): boolean {
    const { now } = this.#cluster.clock;
    const name = this.#cluster.processOf(node);
    if (name === undefined) {
      return false;
    }
    const known = this.#processes.get(node);
    if (known?.name !== name) {
      this.#processes.set(node, {
        name,
        // The processes of the first round have run for a while.
        sinceMs: this.#isFirstRound ? -Infinity : now,
      });
    }
    return now - this.#processes.get(node)!.sinceMs >= READY_MS;
  }

  #ask(node: string, jobId: string, firstMs: number): void {
    const { clock } = this.#cluster;
    const process = this.#cluster.processOf(node);
    let isAnswered = false;
    const call = `${jobId} at ${node}, asked at ${Math.round(clock.now)} ms`;
    this.#cluster.call(node, FrontCallKind.Status, jobId, (answer) => {
      isAnswered = true;
      this.#check(answer, { node, jobId, firstMs, call });
    });
    clock.after(ANSWER_MS, () => {
      // A client notices that a process ends, and asks another one.
      if (!isAnswered && this.#cluster.processOf(node) === process) {
        this.problems.push(`${call}: no answer`);
      }
    });
  }

  #check(
    answer: FrontAnswer,
    { node, jobId, firstMs, call }: {
      readonly node: string;
      readonly jobId: string;
      readonly firstMs: number;
      readonly call: string;
    },
  ): void {
    const { clock } = this.#cluster;
    const isRefused = answer.kind === FrontAnswerKind.Unavailable;
    if (
      isRefused && this.#mayRefuse && clock.now - firstMs < PATIENCE_MS
    ) {
      clock.after(answer.retryAfterMs, () => {
        if (this.#cluster.processOf(node) !== undefined) {
          this.#ask(node, jobId, firstMs);
        }
      });
    } else if (!isRight(jobId, answer)) {
      this.problems.push(`${call}: ${JSON.stringify(answer)}`);
    }
  }
}

describe("every node tells the state of every job in time", () => {
  for (const testCase of CASES) {
    for (const seed of SEEDS) {
      it(`while and after ${testCase.name}, seed ${seed}`, () => {
        const { profileOf, warmUpMs = WARM_UP_MS, forMs, mayRefuse = false } =
          testCase;
        const cluster = new DomainCluster({
          seed,
          nodes: MANY_NODES,
          ...(profileOf === undefined ? {} : { profileOf }),
        });
        const { clock } = cluster;
        clock.runUntil(warmUpMs);
        const [node = ""] = cluster.nodeIds;
        cluster.submit(DONE_JOB, specOf(RUN_MS), node);
        cluster.submit(RUNNING_JOB, specOf(LONG_MS), node);
        clock.runUntil(clock.now + SETTLE_MS);
        const callers = new Callers(cluster, mayRefuse);
        callers.askAll(Object.keys(EXPECTED));
        clock.after(forMs, testCase.injectFault(cluster));
        for (let ms = 0; ms < forMs + AFTER_MS; ms += ASK_INTERVAL_MS) {
          clock.after(ms, () => {
            callers.askAll(Object.keys(EXPECTED));
            callers.submitAndAsk();
          });
        }
        clock.runUntil(
          clock.now + forMs + AFTER_MS + PATIENCE_MS + 2 * ANSWER_MS,
        );
        expect(callers.problems).to.deep.equal([]);
      });
    }
  }
});
