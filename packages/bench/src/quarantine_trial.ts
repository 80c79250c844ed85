import { Random } from "@mustardweir/kernel";
import { type FaultDetector, TaskOutcome } from "@mustardweir/quarantine";
import { oneOf } from "./workload/distributions.ts";

/** The detector to measure, and the instances that it observes. */
export interface QuarantineTrialOptions {
  /** Must never quarantine; its statistic is read with `suspicion`. */
  readonly detector: FaultDetector;
  /** The threshold that `detector` was created with. */
  readonly threshold: number;
  readonly good: number;
  readonly bad: number;
  /** Tasks that each good instance runs. */
  readonly tasksPerInstance: number;
  readonly seed: number;
}

/** The statistics that a detector computed. */
export interface QuarantineTrialResult {
  /** Largest statistic of each good instance, in descending order. */
  readonly goodPeaks: readonly number[];
  /** Statistics of each bad instance, one for each task since it broke. */
  readonly badSeries: readonly (readonly number[])[];
}

/** A team and the failure rate of its own tasks. */
interface WorkloadTeam {
  readonly name: string;
  readonly failureRate: number;
  /** Fraction of the time in which all its tasks fail. */
  readonly brokenFraction: number;
}

const TEAMS: readonly WorkloadTeam[] = [
  { name: "steady", failureRate: 0.005, brokenFraction: 0 },
  { name: "usual", failureRate: 0.02, brokenFraction: 0 },
  { name: "large", failureRate: 0.05, brokenFraction: 0 },
  { name: "careless", failureRate: 0.1, brokenFraction: 0 },
  { name: "flaky", failureRate: 0.3, brokenFraction: 0 },
  { name: "releasing", failureRate: 0.02, brokenFraction: 0.2 },
];

/** Tasks per instance of the fleet from one release to the next. */
const RELEASE_TASKS_PER_INSTANCE = 40;
/** Starts on a bad instance per start on a good one; a bad one is free sooner. */
const BAD_START_ODDS = 3;
const STEP_MS = 1;

/**
 * Reports ends of tasks to a detector; bad instances fail every task from some
 * time on.
 */
export function runQuarantineTrial(
  options: QuarantineTrialOptions,
): QuarantineTrialResult {
  const { detector, threshold, good, bad } = options;
  const random = new Random(options.seed);
  const peaks = new Float64Array(good);
  const series: number[][] = Array.from({ length: bad }, () => []);
  const steps = good * options.tasksPerInstance;
  const odds = good + bad * BAD_START_ODDS;
  for (let step = 0; step < steps; step++) {
    const drawn = random.below(odds);
    const isBad = drawn >= good;
    const i = isBad ? Math.floor((drawn - good) / BAD_START_ODDS) : drawn;
    const id = isBad ? `bad-${i}` : `good-${i}`;
    const broken = isBad && step >= breakStep(i, bad, steps);
    const team = oneOf(random, TEAMS);
    const ownFailure = failsByItself(team, random, step / good);
    const outcome = broken || ownFailure ? TaskOutcome.Failed : TaskOutcome.Ok;
    detector.observe(id, outcome, team.name, step * STEP_MS);
    const statistic = detector.suspicion(id) * threshold;
    if (broken) {
      series[i]!.push(statistic);
    } else if (!isBad) {
      peaks[i] = Math.max(peaks[i]!, statistic);
    }
  }
  return { goodPeaks: [...peaks].sort((a, b) => b - a), badSeries: series };
}

/**
 * Returns the number of tasks that each bad instance fails until its statistic
 * reaches `threshold`; Infinity if it doesn't.
 */
export function detectionDelays(
  result: QuarantineTrialResult,
  threshold: number,
): number[] {
  return result.badSeries.map((statistics) => {
    const at = statistics.findIndex((statistic) => statistic >= threshold);
    return at < 0 ? Infinity : at + 1;
  });
}

/** Spreads the breaks of bad instances evenly over 80% of the trial. */
function breakStep(i: number, bad: number, steps: number): number {
  return Math.floor(steps * (0.1 + 0.8 * i / bad));
}

function failsByItself(
  team: WorkloadTeam,
  random: Random,
  tasksPerInstance: number,
): boolean {
  const phase = tasksPerInstance % RELEASE_TASKS_PER_INSTANCE;
  const broken = phase < team.brokenFraction * RELEASE_TASKS_PER_INSTANCE;
  return random.fraction() < team.failureRate || broken;
}
