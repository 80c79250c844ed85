import { FrontAnswerKind } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";
import type { DomainStore } from "./domain_store.ts";

const OUTAGE_MS = 5_000;
const SETTLE_MS = 30_000;
/** Time in which nodes detect that the store is down, in milliseconds. */
const DETECTION_MS = 2_000;
/** Time limit of the answers: a third of the callers' timeout, in ms. */
const ANSWER_LIMIT_MS = 1_100;

interface OutageCase {
  readonly name: string;
  readonly begin: (store: DomainStore, nodes: readonly string[]) => void;
  readonly end: (store: DomainStore) => void;
}

const CASES: readonly OutageCase[] = [
  {
    name: "is silent",
    begin: ({ faults }, nodes) => nodes.forEach((id) => faults.silent.add(id)),
    end: ({ faults }) => faults.silent.clear(),
  },
  {
    name: "refuses all calls",
    begin: ({ faults }, nodes) => nodes.forEach((id) => faults.refused.add(id)),
    end: ({ faults }) => faults.refused.clear(),
  },
];

describe("jobs submitted while the store is down", () => {
  for (const { name, begin, end } of CASES) {
    it(`are refused early and never run when it ${name}`, () => {
      const cluster = new DomainCluster({ seed: 1 });
      const { clock, store, nodeIds, clients, runs } = cluster;
      clock.runUntil(WARM_UP_MS);
      begin(store, nodeIds);
      clock.after(OUTAGE_MS, () => end(store));
      clock.runUntil(WARM_UP_MS + DETECTION_MS);
      nodeIds.forEach((node, index) =>
        cluster.submit(jobIdOf(index), {
          payload: createTaskPayload({ runMs: 300, failures: 0 }),
          stages: [stageSpec()],
        }, node)
      );
      clock.runUntil(clock.now + ANSWER_LIMIT_MS);
      const kinds = [...clients.values()]
        .flatMap(({ answers }) => answers.map(({ kind }) => kind));
      expect(kinds).to.deep.equal(
        nodeIds.map(() => FrontAnswerKind.Unavailable),
      );
      clock.runUntil(clock.now + SETTLE_MS);
      expect(runs).to.deep.equal([]);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});

interface StormCase extends OutageCase {
  /** Most calls of a node in a second while the store is away. */
  readonly maxCallsPerS: number;
}

/** Five tries a second and the renewals that each node makes for its peers. */
const STORMS: readonly StormCase[] = CASES.map((outage) => ({
  ...outage,
  maxCallsPerS: 12,
}));
const STORM_NODES = 6;
const STORM_JOBS_PER_S = 60;
/** Time until the first job is accepted after the store's return, in ms. */
const RETURN_MS = 500;

describe("calls to the store while it is away", () => {
  for (const { name, begin, end, maxCallsPerS } of STORMS) {
    it(`don't follow the number of callers when it ${name}`, () => {
      const cluster = new DomainCluster({ seed: 1, nodes: STORM_NODES });
      const { clock, store, nodeIds, clients } = cluster;
      clock.runUntil(WARM_UP_MS);
      begin(store, nodeIds);
      cluster.submitSteadily({
        jobsPerS: STORM_JOBS_PER_S,
        forMs: OUTAGE_MS + 2 * RETURN_MS,
        spec: {
          payload: createTaskPayload({ runMs: 300, failures: 0 }),
          stages: [stageSpec({ tasks: 1 })],
        },
      });
      clock.runUntil(clock.now + DETECTION_MS);
      const before = store.calls;
      const measuredMs = OUTAGE_MS - DETECTION_MS;
      clock.runUntil(clock.now + measuredMs);
      expect((store.calls - before) * 1_000 / measuredMs / STORM_NODES)
        .to.be.at.most(maxCallsPerS);
      end(store);
      clock.runUntil(clock.now + RETURN_MS);
      const accepted = [...clients.values()].filter(({ answers }) =>
        answers[0]?.kind === FrontAnswerKind.Accepted
      );
      expect(accepted).not.to.have.length(0);
      clock.runUntil(clock.now + SETTLE_MS);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});
