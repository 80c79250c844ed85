import { StagedJobState } from "@mustardweir/model";
import { FrontAnswerKind, FrontCallKind } from "@mustardweir/protocol";
import { expect } from "chai";
import { findViolations } from "./domain_oracle.ts";
import { jobIdOf, JOBS, runScenario, SCENARIOS } from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];

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
