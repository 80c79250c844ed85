import fc from "fast-check";
import type { History } from "./history.ts";
import type { Oracle } from "./oracle.ts";
import { ORACLES } from "./oracles/mod.ts";
import type { Point } from "./point.ts";
import { runScenario, type Scenario } from "./scenario.ts";
import { scenarioArbitrary } from "./scenarios.ts";
import type { Tampering } from "./simulation/tampering.ts";

/** Longest search for a shorter failing scenario, in milliseconds. */
const SHRINK_LIMIT_MS = 60_000;

/** Which points are proved, how often, and from which seed. */
export interface ProveOptions {
  /** All points by default. */
  readonly point?: Point;
  readonly seed: number;
  /** Runs that each point must get. */
  readonly runs: number;
  /** Most runs altogether; those that a point is not about count here. */
  readonly maxRuns?: number;
  /** Path of the shrunk run of `seed`, as a failure gave it. */
  readonly path?: string;
  readonly tampering?: () => Tampering;
  /** False keeps the first failing scenario as it is. */
  readonly shrinks?: boolean;
}

/** What was seen of a point. */
export interface Tally {
  readonly point: Point;
  /** Runs that contained what the point is about. */
  runs: number;
  /** Events that the point is about. */
  events: number;
}

/** A scenario that broke points, as short as it was found. */
export interface Failure {
  /** Give this and the path to replay it. */
  readonly seed: number;
  readonly path: string;
  readonly scenario: Scenario;
  readonly violations: readonly Violation[];
}

/** A point that did not hold. */
export interface Violation {
  readonly point: Point;
  readonly message: string;
}

/** What the runs of a proof have shown. */
export interface Proof {
  readonly tallies: readonly Tally[];
  /** Runs altogether. */
  readonly runs: number;
  readonly failure?: Failure;
}

/**
 * Runs scenarios until each point has its runs, or one breaks a point.
 *
 * @example
 * ```ts
 * const proof = prove({ seed: 1, runs: 300 });
 * ```
 */
export function prove(options: ProveOptions): Proof {
  const oracles = ORACLES.filter(({ point }) =>
    options.point === undefined || point === options.point
  );
  const tallies = oracles.map(({ point }) => ({ point, runs: 0, events: 0 }));
  const { maxRuns = Infinity } = options;
  let runs = 0;
  while (runs < maxRuns && tallies.some((t) => t.runs < options.runs)) {
    const seed = options.seed + runs;
    let isFirst = true; // What follows are shorter forms of it.
    const failure = runOnce(seed, options, (history) => {
      if (isFirst) {
        count(history, { oracles, tallies });
      }
      isFirst = false;
      return judge(history, oracles);
    });
    runs += 1;
    if (failure !== undefined) {
      return { tallies, runs, failure };
    }
  }
  return { tallies, runs };
}

type Judge = (history: History) => readonly Violation[];

function runOnce(
  seed: number,
  options: ProveOptions,
  judgeRun: Judge,
): Failure | undefined {
  let violations: readonly Violation[] = [];
  const { shrinks = true, point, tampering, path: replayed } = options;
  const details = fc.check(
    fc.property(scenarioArbitrary(point), (scenario) => {
      const found = judgeRun(runScenario(scenario, tampering?.()));
      violations = found.length > 0 ? found : violations;
      return found.length === 0;
    }),
    {
      seed,
      numRuns: 1,
      ...(replayed === undefined ? {} : { path: replayed }),
      endOnFailure: !shrinks || replayed !== undefined,
      interruptAfterTimeLimit: SHRINK_LIMIT_MS,
    },
  );
  if (!details.failed || details.counterexample === null) {
    return undefined;
  }
  const [scenario] = details.counterexample;
  const path = details.counterexamplePath ?? "";
  return { seed, path, scenario, violations };
}

/**
 * The scenario at a path of a seed; undefined when there is none.
 *
 * @example
 * ```ts
 * const scenario = replay(failure.seed, failure.path);
 * ```
 */
export function replay(
  seed: number,
  path: string,
  point?: Point,
): Scenario | undefined {
  let scenario: Scenario | undefined;
  fc.check(
    fc.property(scenarioArbitrary(point), (drawn) => {
      scenario = drawn;
      return false;
    }),
    { seed, path, numRuns: 1, endOnFailure: true },
  );
  return scenario;
}

/**
 * All violations of a run.
 *
 * @example
 * ```ts
 * const violations = judge(runScenario(scenario));
 * ```
 */
export function judge(
  history: History,
  oracles: readonly Oracle[] = ORACLES,
): Violation[] {
  return oracles.flatMap((oracle) =>
    oracle.findViolations(history).map((message) => ({
      point: oracle.point,
      message,
    }))
  );
}

interface Counted {
  readonly oracles: readonly Oracle[];
  readonly tallies: readonly Tally[];
}

function count(history: History, { oracles, tallies }: Counted): void {
  for (const [index, oracle] of oracles.entries()) {
    const tally = tallies[index]!;
    const events = oracle.countRelevant(history);
    tally.events += events;
    tally.runs += events > 0 ? 1 : 0;
  }
}
