import { FrontAnswerKind, FrontCallKind } from "@mustardweir/protocol";
import { RecordKind } from "@mustardweir/replica";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { MANY_NODES, WARM_UP_MS } from "./domain_scenarios.ts";

const MESSAGE = "Query answered late or without a state";
const JOB = jobIdOf(1);
const UNKNOWN_JOB = jobIdOf(2);
const LONG_MS = 60_000;
/** Time until the job runs, in milliseconds. */
const START_MS = 4_000;
/** Time in which every call is answered, in milliseconds. */
const ANSWER_MS = 2_400;
/** Time for which lines are bounded together, and their number. */
const WINDOW_MS = 10_000;
const MAX_LINES = 10;
const QUERIES = 100;

type Line = Readonly<Record<string, unknown>>;

interface LogCase {
  readonly name: string;
  readonly jobId?: string;
  readonly injectFault?: (cluster: DomainCluster) => void;
  /** Some fields of the only line; no line if undefined. */
  readonly line: Line | undefined;
}

const CASES: readonly LogCase[] = [
  { name: "an answer in time", line: undefined },
  {
    name: "a job that isn't known",
    jobId: UNKNOWN_JOB,
    line: {
      job: UNKNOWN_JOB,
      answer: FrontAnswerKind.UnknownJob,
      lastRead: RecordKind.Job,
      relayed: false,
      copy: false,
    },
  },
  {
    name: "a state that can't be read",
    injectFault: ({ nodeIds, store }) =>
      nodeIds.forEach((id) => store.faults.silent.add(id)),
    line: {
      job: JOB,
      answer: FrontAnswerKind.Unavailable,
      lastRead: RecordKind.Progress,
      relayed: true,
      copy: false,
    },
  },
  {
    name: "an answer that takes long",
    injectFault: ({ store: { faults } }) => {
      faults.callMs = 550;
    },
    line: {
      job: JOB,
      answer: FrontAnswerKind.State,
      lastRead: RecordKind.Cancel,
      reads: 2,
      relayed: false,
      copy: false,
    },
  },
];

function startCluster(): { cluster: DomainCluster; lines: Line[] } {
  const lines: Line[] = [];
  const cluster = new DomainCluster({
    seed: 1,
    nodes: MANY_NODES,
    onLog: ({ message, fields }) => {
      if (message === MESSAGE) {
        lines.push(fields);
      }
    },
  });
  const { clock, nodeIds } = cluster;
  clock.runUntil(WARM_UP_MS);
  cluster.submit(JOB, {
    payload: createTaskPayload({ runMs: LONG_MS, failures: 0 }),
    stages: [stageSpec({ estimateMs: LONG_MS })],
  }, nodeIds[0]!);
  clock.runUntil(clock.now + START_MS);
  return { cluster, lines };
}

describe("the log of a node without a copy of the records tells", () => {
  for (const { name, jobId = JOB, injectFault, line } of CASES) {
    it(`${line === undefined ? "nothing about " : ""}${name}`, () => {
      const { cluster, lines } = startCluster();
      const { clock } = cluster;
      const [node = ""] = cluster.followers;
      injectFault?.(cluster);
      cluster.call(node, FrontCallKind.Status, jobId, () => {});
      clock.runUntil(clock.now + ANSWER_MS);
      expect(lines).to.have.length(line === undefined ? 0 : 1);
      if (line !== undefined) {
        expect(lines[0]).to.deep.include(line);
      }
    });
  }

  it("of many unknown jobs a few and how many it left out", () => {
    const { cluster, lines } = startCluster();
    const { clock } = cluster;
    const [node = ""] = cluster.followers;
    const ask = () =>
      cluster.call(node, FrontCallKind.Status, UNKNOWN_JOB, () => {});
    for (let index = 0; index < QUERIES; index++) {
      ask();
    }
    clock.runUntil(clock.now + WINDOW_MS + ANSWER_MS);
    expect(lines).to.have.length(MAX_LINES);
    ask();
    clock.runUntil(clock.now + ANSWER_MS);
    expect(lines).to.have.length(MAX_LINES + 1);
    expect(lines.at(-1)!.omitted).to.equal(QUERIES - MAX_LINES);
  });
});
