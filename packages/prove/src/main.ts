/** `npm run prove`: proves the twelve points by stateful fuzzing. */
import { Command, InvalidArgumentError } from "commander";
import { Point } from "./point.ts";
import { type Proof, prove, type ProveOptions, replay } from "./prover.ts";
import { describeScenario, printFailure, printProof } from "./report.ts";

const DEFAULT_RUNS = 300;
const DEFAULT_SEED = 1;

/** Runs between two reports of an open-ended proof. */
const REPORT_RUNS = 500;

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
  .description("Proves what must always hold by stateful fuzzing")
  .option("--list", "list the points")
  .option("--point <name>", "prove one point", parsePoint)
  .option("--seed <number>", "seed of the first run", parseWhole, DEFAULT_SEED)
  .option("--runs <number>", "runs of each point", parseWhole, DEFAULT_RUNS)
  .option("--path <path>", "replay the shrunk run of --seed")
  .option("--mutants", "show that spoilt kernels are caught")
  .option("--open-ended", "go on until interrupted");

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
    finish(prove(options), options);
  }
}

function replayRun({ seed, point }: Options, path: string): void {
  const scenario = replay(seed, path, point);
  if (scenario === undefined) {
    throw new InvalidArgumentError(`Seed ${seed} has no path ${path}`);
  }
  console.log(describeScenario(scenario));
  const proof = prove({ seed, runs: 1, maxRuns: 1, path, point });
  finish(proof, { seed, runs: 1, point });
}

/** Proves in portions, so that a signal can end the process in between. */
async function proveOpenEnded(options: Options): Promise<void> {
  for (let seed = options.seed;; seed += REPORT_RUNS) {
    const portion = { ...options, seed, runs: Infinity, maxRuns: REPORT_RUNS };
    const proof = prove(portion);
    console.log(`Seeds ${seed} to ${seed + proof.runs - 1}`);
    if (proof.failure !== undefined) {
      finish(proof, options);
      return;
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function finish(proof: Proof, options: ProveOptions): void {
  printProof(proof);
  if (proof.failure !== undefined) {
    printFailure(proof.failure, options.point);
    process.exitCode = 1;
  }
}

function parsePoint(value: string): Point {
  const point = Object.values(Point).find((name) => name === value);
  if (point === undefined) {
    throw new InvalidArgumentError("See --list for the points.");
  }
  return point;
}

function parseWhole(value: string): number {
  const number = Number(value);
  if (!Number.isSafeInteger(number) || number < 1) {
    throw new InvalidArgumentError("It must be a positive whole number.");
  }
  return number;
}
