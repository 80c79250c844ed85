import { StagedJobState } from "@mustardweir/model";
import { FrontAnswerKind, FrontCallKind } from "@mustardweir/protocol";
import { expect } from "chai";
import { findViolations } from "./domain_oracle.ts";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import {
  DOMAIN_SCENARIOS,
  JOBS,
  MANY_NODES,
  runDomainScenario,
  WARM_UP_MS,
} from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];
/** Interval between checks of the records, in milliseconds. */
const POLL_INTERVAL_MS = 5;
/** Time limit of the store's reply and a message to the peers, in ms. */
const PROPAGATION_LIMIT_MS = 15;

const FINAL_STATE_CASES = [
  { name: "a few nodes", nodes: 4, standbys: 4 },
  { name: "many nodes", nodes: MANY_NODES, standbys: 4 },
];

describe("domain", () => {
  for (const scenario of DOMAIN_SCENARIOS) {
    for (const seed of SEEDS) {
      it(`has no violations when ${scenario.name}, seed ${seed}`, () => {
        const cluster = runDomainScenario(scenario, { seed });
        expect(findViolations(cluster)).to.deep.equal([]);
        const accepted = [...cluster.clients.values()].filter(({ answers }) =>
          answers.some(({ kind }) => kind === FrontAnswerKind.Accepted)
        );
        expect(accepted.length).to.be.at.least(
          scenario.minAccepted ?? JOBS / 3,
        );
      });
    }
  }

  it("reports an end on every node as soon as it is durable", () => {
    const cluster = new DomainCluster({ seed: 1 });
    const { clock, store, nodeIds } = cluster;
    clock.runUntil(WARM_UP_MS);
    const jobId = jobIdOf(0);
    cluster.submit(jobId, {
      payload: createTaskPayload({ runMs: 300, failures: 0 }),
      stages: [stageSpec()],
    }, nodeIds[0]!);
    const isDurable = () =>
      store.records.get(`domain\nprogress/${jobId}`)?.value
        ?.includes(StagedJobState.Completed) === true;
    const runs = 2_000 / POLL_INTERVAL_MS;
    for (let run = 0; run < runs && !isDurable(); run++) {
      clock.runUntil(clock.now + POLL_INTERVAL_MS);
    }
    expect(isDurable()).to.equal(true);
    clock.runUntil(clock.now + PROPAGATION_LIMIT_MS);
    const states: string[] = [];
    for (const node of nodeIds) {
      cluster.call(node, FrontCallKind.Status, jobId, (answer) => {
        states.push(
          answer.kind === FrontAnswerKind.State ? answer.state : answer.kind,
        );
      });
    }
    expect(states).to.deep.equal(
      nodeIds.map(() => StagedJobState.Completed),
    );
  });

  for (const { name, nodes, standbys } of FINAL_STATE_CASES) {
    it(`reports the same final state on every one of ${name}`, () => {
      const cluster = runDomainScenario(
        { name, nodes, injectFault: () => {} },
        { seed: 1 },
      );
      const states: string[] = [];
      for (const node of cluster.nodeIds) {
        cluster.call(node, FrontCallKind.Status, jobIdOf(0), (answer) => {
          states.push(
            answer.kind === FrontAnswerKind.State ? answer.state : answer.kind,
          );
        });
      }
      cluster.clock.runUntil(cluster.clock.now + 1_000);
      expect(states).to.deep.equal(
        cluster.nodeIds.map(() => StagedJobState.Completed),
      );
      const copies = cluster.nodeIds
        .filter((id) => cluster.countCopiedJobs(id) > 0);
      expect(copies).to.deep.equal(cluster.standbys);
      expect(copies).to.have.length(standbys);
    });
  }
});
