import { expect } from "chai";
import type { Command, CommandKind } from "./commands.ts";
import { FOUND_SCENARIOS } from "./found_scenarios_test.ts";
import { Point } from "./point.ts";
import { checkHistory, type Proof, prove } from "./prover.ts";
import { runScenario } from "./scenario.ts";

/** Number of runs that must exercise each point in the short proof. */
const RUNS = 20;

const SEED = 100_000;

const LIMIT_MS = 120_000;

describe("Points, checked by a short proof", function () {
  this.timeout(LIMIT_MS);
  let proof: Proof;

  before(() => {
    proof = prove({ seed: SEED, runs: RUNS, shrinks: false });
  });

  it("all hold", () => {
    expect(proof.failure).to.equal(undefined);
  });

  for (const point of Object.values(Point)) {
    it(`${point} was exercised often enough`, () => {
      const tally = proof.tallies.find((t) => t.point === point);
      expect(tally?.runs).to.be.at.least(RUNS);
    });
  }
});

describe("Scenarios that violated a point in the past", function () {
  this.timeout(LIMIT_MS);
  for (const found of FOUND_SCENARIOS) {
    it(`${found.point}, seed ${found.seed}: ${found.fault}`, () => {
      const { simulationSeed, schedulers } = found;
      const commands = parseCommands(found.commands);
      const history = runScenario({ simulationSeed, schedulers, commands });
      expect(checkHistory(history)).to.deep.equal([]);
    });
  }
});

function parseCommands(text: string): Command[] {
  const lines = text.split(";").map((line) => line.trim()).filter(Boolean);
  return lines.map((line) => {
    const [kind, ...numbers] = line.split(/\s+/);
    const [gapMs = 0, pick = 0, other = 0, forMs = 0] = numbers.map(Number);
    return { kind: kind as CommandKind, gapMs, pick, other, forMs };
  });
}
