import fc from "fast-check";
import type { History } from "./history.ts";
import type { Oracle } from "./oracle.ts";
import { ORACLES } from "./oracles/mod.ts";
import type { Point } from "./point.ts";
import { runScenario, type Scenario } from "./scenario.ts";
import { scenarioArbitrary } from "./scenarios.ts";
import type { Tampering } from "./simulation/tampering.ts";

/** Maximum time spent shrinking a failing scenario, in milliseconds. */
const SHRINK_LIMIT_MS = 60_000;

/** Which points are checked, with how many runs and from which seed. */
export interface ProveOptions {
  /** The only point to check; all points by default. */
  readonly point?: Point;
  readonly seed: number;
  /** Number of runs that must exercise each point. */
  readonly runs: number;
  /** Maximum number of runs, including those that exercise no point. */
  readonly maxRuns?: number;
  /** Shrinking path of the run of `seed`, as {@link Failure} reports it. */
  readonly path?: string;
  readonly tampering?: () => Tampering;
  /** Whether a failing scenario is shrunk; true by default. */
  readonly shrinks?: boolean;
}

/** How often the runs exercised a point. */
export interface Tally {
  readonly point: Point;
  /** Number of runs that exercised the point. */
  runs: number;
  /** Number of events that exercised the point. */
  events: number;
}

/** The shortest scenario found that violates a point. */
export interface Failure {
  /** Seed of the run; it and `path` replay the scenario. */
  readonly seed: number;
  readonly path: string;
  readonly scenario: Scenario;
  readonly violations: readonly Violation[];
}

/** A violation of a point. */
export interface Violation {
  readonly point: Point;
  readonly message: string;
}

/** Result of the runs of a proof. */
export interface Proof {
  readonly tallies: readonly Tally[];
  /** Total number of runs. */
  readonly runs: number;
  readonly failure?: Failure;
}

/**
 * Runs scenarios until each point has been exercised often enough, `maxRuns`
 * is reached, or a scenario violates a point.
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
    let isFirst = true; // Later scenarios are shrunk forms of the first.
    const failure = runOnce(seed, options, (history) => {
      if (isFirst) {
        count(history, { oracles, tallies });
      }
      isFirst = false;
      return checkHistory(history, oracles);
    });
    runs += 1;
    if (failure !== undefined) {
      return { tallies, runs, failure };
    }
  }
  return { tallies, runs };
}

type HistoryCheck = (history: History) => readonly Violation[];

function runOnce(
  seed: number,
  options: ProveOptions,
  checkRun: HistoryCheck,
): Failure | undefined {
  let violations: readonly Violation[] = [];
  const { shrinks = true, point, tampering, path: replayed } = options;
  const details = fc.check(
    fc.property(scenarioArbitrary(point), (scenario) => {
      const found = checkRun(runScenario(scenario, tampering?.()));
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
 * Returns the scenario at the shrinking path of a seed; undefined when the
 * seed has no such path.
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
 * Returns all violations in the history of a run.
 *
 * @example
 * ```ts
 * const violations = checkHistory(runScenario(scenario));
 * ```
 */
export function checkHistory(
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

interface TallyContext {
  readonly oracles: readonly Oracle[];
  readonly tallies: readonly Tally[];
}

function count(history: History, { oracles, tallies }: TallyContext): void {
  for (const [index, oracle] of oracles.entries()) {
    const tally = tallies[index]!;
    const events = oracle.countRelevant(history);
    tally.events += events;
    tally.runs += events > 0 ? 1 : 0;
  }
}
