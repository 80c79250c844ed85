import { StagedJobState } from "@mustardweir/model";
import { FrontAnswerKind, FrontCallKind } from "@mustardweir/protocol";
import { expect } from "chai";
import { findViolations } from "./domain_oracle.ts";
import { DomainCluster, payloadOf, stageSpec } from "./domain_cluster.ts";
import {
  jobIdOf,
  JOBS,
  runScenario,
  SCENARIOS,
  WARM_UP_MS,
} from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];
/** How often the records are looked at, in milliseconds. */
const LOOK_MS = 5;
/** The owner's answer and a message to its peers take no longer. */
const SHOWN_MS = 15;

describe("domain", () => {
  for (const scenario of SCENARIOS) {
    for (const seed of SEEDS) {
      it(`keeps its promises when ${scenario.name}, seed ${seed}`, () => {
        const cluster = runScenario(scenario, { seed });
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

  it("shows every node an end as soon as it is durable", () => {
    const cluster = new DomainCluster({ seed: 1 });
    const { clock, store, nodeIds } = cluster;
    clock.runUntil(WARM_UP_MS);
    const jobId = jobIdOf(0);
    cluster.submit(jobId, {
      payload: payloadOf({ runMs: 300, failures: 0 }),
      stages: [stageSpec()],
    }, nodeIds[0]!);
    const isDurable = () =>
      store.records.get(`domain\nprogress/${jobId}`)?.value
        ?.includes(StagedJobState.Completed) === true;
    const runs = 2_000 / LOOK_MS;
    for (let run = 0; run < runs && !isDurable(); run++) {
      clock.runUntil(clock.now + LOOK_MS);
    }
    expect(isDurable()).to.equal(true);
    clock.runUntil(clock.now + SHOWN_MS);
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

  it("shows every node the same final state", () => {
    const cluster = runScenario(SCENARIOS[0]!, { seed: 1 });
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
  });
});
