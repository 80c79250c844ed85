/** Shows that the oracles catch kernels with a spoilt mechanism. */
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

/** A mutant that lives through this many runs was not caught. */
const MAX_RUNS = 2_000;

const POINT_WIDTH = 24;
const NAME_WIDTH = 60;

/** Number of the run that caught the mutant; undefined when none did. */
export function catchMutant(
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

/** Prints the runs that each mutant lived through; false when one survived. */
export function proveMutants(
  options: { readonly seed: number; readonly point?: Point },
): boolean {
  const mutants = MUTANTS.filter(({ point }) =>
    options.point === undefined || point === options.point
  );
  let isWhole = true;
  for (const mutant of mutants) {
    const runs = catchMutant(mutant, options.seed);
    const verdict = runs === undefined ? "SURVIVED" : `caught in run ${runs}`;
    const { point, name } = mutant;
    console.log(
      `${point.padEnd(POINT_WIDTH)}${name.padEnd(NAME_WIDTH)}${verdict}`,
    );
    isWhole &&= runs !== undefined;
  }
  return isWhole;
}

if (typeof describe === "function") {
  describe("Mutants", () => {
    for (const point of Object.values(Point)) {
      it(`${point} has two or more`, () => {
        const ofPoint = MUTANTS.filter((mutant) => mutant.point === point);
        expect(ofPoint.length).to.be.at.least(2);
      });
    }
  });
}
