import type { Point } from "./point.ts";
import type { Failure, Proof } from "./prover.ts";
import type { Scenario } from "./scenario.ts";

const NAME_WIDTH = 24;
const NUMBER_WIDTH = 9;

/**
 * Prints how often each point was exercised, and whether it held.
 *
 * @example
 * ```ts
 * printProof(prove({ seed: 1, runs: 300 }));
 * ```
 */
export function printProof({ tallies, runs, failure }: Proof): void {
  const broken = new Set(failure?.violations.map(({ point }) => point));
  console.log(row("point", "runs", "events", "verdict"));
  for (const { point, runs: counted, events } of tallies) {
    const verdict = broken.has(point) ? "BROKEN" : "held";
    console.log(row(point, String(counted), String(events), verdict));
  }
  console.log(`${runs} runs in total`);
}

/**
 * Prints a failing scenario and how to replay it.
 *
 * @example
 * ```ts
 * printFailure(proof.failure, Point.SingleRun);
 * ```
 */
export function printFailure(failure: Failure, point?: Point): void {
  const { seed, path, scenario, violations } = failure;
  console.log("");
  for (const violation of violations) {
    console.log(`${violation.point}: ${violation.message}`);
  }
  console.log("");
  console.log(describeScenario(scenario));
  const focus = point === undefined ? "" : ` --point ${point}`;
  console.log(
    `Replay: npm run prove --${focus} --seed ${seed} --path ${path}`,
  );
}

/**
 * Formats a scenario with one line for each command.
 *
 * @example
 * ```ts
 * console.log(describeScenario(failure.scenario));
 * ```
 */
export function describeScenario(scenario: Scenario): string {
  const { simulationSeed, schedulers, commands } = scenario;
  const lines = commands.map(({ kind, gapMs, pick, other, forMs }, index) =>
    `  ${
      index + 1
    }. +${gapMs} ms ${kind} pick=${pick} other=${other} forMs=${forMs}`
  );
  return [
    `simulation seed ${simulationSeed}, ${schedulers} schedulers`,
    ...lines,
  ].join("\n");
}

function row(...cells: readonly [string, string, string, string]): string {
  const [name, runs, events, verdict] = cells;
  return [
    name.padEnd(NAME_WIDTH),
    runs.padStart(NUMBER_WIDTH),
    events.padStart(NUMBER_WIDTH),
    `  ${verdict}`,
  ].join("");
}
