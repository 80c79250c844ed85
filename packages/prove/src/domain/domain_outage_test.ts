import { FrontAnswerKind } from "@mustardweir/protocol";
import { expect } from "chai";
import { DomainCluster, payloadOf, stageSpec } from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { jobIdOf, WARM_UP_MS } from "./domain_scenarios.ts";
import type { DomainStore } from "./domain_store.ts";

const OUTAGE_MS = 5_000;
const SETTLE_MS = 30_000;
/** Nodes know by then that the store is away. */
const NOTICED_MS = 2_000;
/** A third of the time that callers have. */
const ANSWER_MS = 1_100;

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

describe("jobs that come while the store is away", () => {
  for (const { name, begin, end } of CASES) {
    it(`are refused soon and truly when it ${name}`, () => {
      const cluster = new DomainCluster({ seed: 1 });
      const { clock, store, nodeIds, clients, runs } = cluster;
      clock.runUntil(WARM_UP_MS);
      begin(store, nodeIds);
      clock.after(OUTAGE_MS, () => end(store));
      clock.runUntil(WARM_UP_MS + NOTICED_MS);
      nodeIds.forEach((node, index) =>
        cluster.submit(jobIdOf(index), {
          payload: payloadOf({ runMs: 300, failures: 0 }),
          stages: [stageSpec()],
        }, node)
      );
      clock.runUntil(clock.now + ANSWER_MS);
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
