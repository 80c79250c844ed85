/** `npm run prove`: checks the twelve points by stateful fuzzing. */
import { Command, InvalidArgumentError } from "commander";
import { Point } from "./point.ts";
import { type Proof, prove, type ProveOptions, replay } from "./prover.ts";
import { describeScenario, printFailure, printProof } from "./report.ts";

const DEFAULT_RUNS = 300;
const DEFAULT_SEED = 1;

/** Number of runs between two reports of an open-ended proof. */
const RUNS_PER_REPORT = 500;

interface Options {
  readonly list?: boolean;
  readonly point?: Point;
  readonly seed: number;
  readonly runs: number;
  readonly path?: string;
  readonly mutants?: boolean;
  readonly openEnded?: boolean;
}

const program = new Command("prove")
  .description("Checks what must always hold by stateful fuzzing")
  .option("--list", "list the points and exit")
  .option("--point <name>", "check only this point", parsePoint)
  .option(
    "--seed <number>",
    "seed of the first run",
    parsePositiveInteger,
    DEFAULT_SEED,
  )
  .option(
    "--runs <number>",
    "number of runs that each point must get",
    parsePositiveInteger,
    DEFAULT_RUNS,
  )
  .option(
    "--path <path>",
    "replay the run of --seed that was shrunk to this path",
  )
  .option("--mutants", "check that every mutant is caught")
  .option("--open-ended", "run until interrupted or a point is broken");

await main(program.parse().opts<Options>());

async function main(options: Options): Promise<void> {
  if (options.list) {
    Object.values(Point).forEach((point) => console.log(point));
  } else if (options.path !== undefined) {
    replayRun(options, options.path);
  } else if (options.mutants) {
    const { proveMutants } = await import("./mutants/mutants_test.ts");
    process.exitCode = proveMutants(options) ? 0 : 1;
  } else if (options.openEnded) {
    await proveOpenEnded(options);
  } else {
    reportProof(prove(options), options);
  }
}

function replayRun({ seed, point }: Options, path: string): void {
  const scenario = replay(seed, path, point);
  if (scenario === undefined) {
    throw new InvalidArgumentError(
      `Seed ${seed} has no scenario at path ${path}`,
    );
  }
  console.log(describeScenario(scenario));
  const proof = prove({ seed, runs: 1, maxRuns: 1, path, point });
  reportProof(proof, { seed, runs: 1, point });
}

/** Runs in portions, so that a signal can end the process between two. */
async function proveOpenEnded(options: Options): Promise<void> {
  for (let seed = options.seed;; seed += RUNS_PER_REPORT) {
    const portion = {
      ...options,
      seed,
      runs: Infinity,
      maxRuns: RUNS_PER_REPORT,
    };
    const proof = prove(portion);
    console.log(`Seeds ${seed} to ${seed + proof.runs - 1}`);
    if (proof.failure !== undefined) {
      reportProof(proof, options);
      return;
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function reportProof(proof: Proof, options: ProveOptions): void {
  printProof(proof);
  if (proof.failure !== undefined) {
    printFailure(proof.failure, options.point);
    process.exitCode = 1;
  }
}

function parsePoint(value: string): Point {
  const point = Object.values(Point).find((name) => name === value);
  if (point === undefined) {
    throw new InvalidArgumentError(
      "Unknown point; --list shows the valid names.",
    );
  }
  return point;
}

function parsePositiveInteger(value: string): number {
  const number = Number(value);
  if (!Number.isSafeInteger(number) || number < 1) {
    throw new InvalidArgumentError("Must be a positive integer.");
  }
  return number;
}
