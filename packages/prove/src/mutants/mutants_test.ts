/** Checks that the oracles catch every mutant. */
import { expect } from "chai";
import { Point } from "../point.ts";
import { prove } from "../prover.ts";
import { ANSWER_MUTANTS } from "./answer_mutants_test.ts";
import type { Mutant } from "./mutant_test.ts";
import { RUNNING_MUTANTS } from "./running_mutants_test.ts";

export const MUTANTS: readonly Mutant[] = [
  ...RUNNING_MUTANTS,
  ...ANSWER_MUTANTS,
];

/** Number of runs after which a mutant counts as not caught. */
const MAX_RUNS = 2_000;

const POINT_WIDTH = 24;
const NAME_WIDTH = 60;

/** Returns the number of the run that caught the mutant, if any did. */
export function findCatchingRun(
  { point, create }: Mutant,
  seed: number,
): number | undefined {
  const { runs, failure } = prove({
    point,
    seed,
    runs: Infinity,
    maxRuns: MAX_RUNS,
    tampering: create,
    shrinks: false,
  });
  return failure === undefined ? undefined : runs;
}

/** Prints which run caught each mutant; returns whether all were caught. */
export function proveMutants(
  options: { readonly seed: number; readonly point?: Point },
): boolean {
  const mutants = MUTANTS.filter(({ point }) =>
    options.point === undefined || point === options.point
  );
  let areAllCaught = true;
  for (const mutant of mutants) {
    const runs = findCatchingRun(mutant, options.seed);
    const verdict = runs === undefined ? "SURVIVED" : `caught in run ${runs}`;
    const { point, name } = mutant;
    console.log(
      `${point.padEnd(POINT_WIDTH)}${name.padEnd(NAME_WIDTH)}${verdict}`,
    );
    areAllCaught &&= runs !== undefined;
  }
  return areAllCaught;
}

if (typeof describe === "function") {
  describe("Mutants", () => {
    for (const point of Object.values(Point)) {
      it(`${point} has at least two mutants`, () => {
        const ofPoint = MUTANTS.filter((mutant) => mutant.point === point);
        expect(ofPoint.length).to.be.at.least(2);
      });
    }
  });
}
