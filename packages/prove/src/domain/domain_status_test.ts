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
import { MANY_NODES, WARM_UP_MS } from "./domain_scenarios.ts";

const JOB = jobIdOf(1);
const RUN_MS = 500;
const LONG_MS = 60_000;
const ANSWER_MS = 200;

interface StatusCase {
  readonly name: string;
  /** Run time of the job's tasks; undefined if there is no such job. */
  readonly runMs?: number;
  readonly isCancelled?: boolean;
  /** Time from the submission to the query, in milliseconds. */
  readonly afterMs: number;
  readonly answer: FrontAnswer;
  /** Most records that the node reads to answer. */
  readonly maxReads: number;
}

const state = (of: StagedJobState): FrontAnswer => ({
  kind: FrontAnswerKind.State,
  state: of,
});

const CASES: readonly StatusCase[] = [
  {
    name: "a job that is done",
    runMs: RUN_MS,
    afterMs: 4_000,
    answer: state(StagedJobState.Completed),
    maxReads: 1,
  },
  {
    name: "a job that was cancelled",
    runMs: LONG_MS,
    isCancelled: true,
    afterMs: 4_000,
    answer: state(StagedJobState.Cancelled),
    maxReads: 1,
  },
  {
    name: "a job that runs",
    runMs: LONG_MS,
    afterMs: 4_000,
    answer: state(StagedJobState.Running),
    maxReads: 2,
  },
  {
    name: "a job that was just accepted",
    runMs: LONG_MS,
    afterMs: 6,
    answer: state(StagedJobState.Pending),
    maxReads: 3,
  },
  {
    name: "no job",
    afterMs: 4_000,
    answer: { kind: FrontAnswerKind.UnknownJob, reason: "No such job" },
    maxReads: 2,
  },
];

describe("a node without a copy of the records tells the state of", () => {
  for (
    const { name, runMs, isCancelled, afterMs, answer, maxReads } of CASES
  ) {
    it(`${name} after at most ${maxReads} reads`, () => {
      const cluster = new DomainCluster({ seed: 1, nodes: MANY_NODES });
      const { clock, nodeIds } = cluster;
      clock.runUntil(WARM_UP_MS);
      const [node = "", entry = ""] = cluster.followers;
      if (runMs !== undefined) {
        cluster.submit(JOB, {
          payload: createTaskPayload({ runMs, failures: 0 }),
          stages: [stageSpec({ estimateMs: runMs })],
        }, entry);
      }
      if (isCancelled) {
        clock.after(1_000, () => cluster.cancel(JOB, nodeIds[0]!));
      }
      clock.runUntil(clock.now + afterMs);
      const before = cluster.countRecordReads(node);
      const answers: FrontAnswer[] = [];
      cluster.call(
        node,
        FrontCallKind.Status,
        JOB,
        (answered) => answers.push(answered),
      );
      clock.runUntil(clock.now + ANSWER_MS);
      expect(answers).to.deep.equal([answer]);
      expect(cluster.countRecordReads(node) - before).to.be.at.most(maxReads);
    });
  }
});
