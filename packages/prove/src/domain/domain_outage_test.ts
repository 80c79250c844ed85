import { FrontAnswerKind } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { jobIdOf, WARM_UP_MS } from "./domain_scenarios.ts";
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
