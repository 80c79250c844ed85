import { dominantShare, JobKind, NO_RESOURCES } from "@mustardweir/model";
import { createFleetConfiguration } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;

/** Time between samples of the teams' shares, in milliseconds. */
const SAMPLE_INTERVAL_MS = 500;

const PREEMPTED = "tasks_ended_preempted";

const SHARES = { storefront: 3, imaging: 2, ledger: 1 };

/** The size of the shared fleet, and how long the teams share it. */
export interface SharingTrialOptions {
  readonly seed: number;
  /** Number of instances in each of the three zones; 30 by default. */
  readonly instances?: number;
  /** How long the teams share, in milliseconds; 30 s by default. */
  readonly sharedMs?: number;
}

/** Deviation of the teams' use from their shares, and its cost. */
export interface SharingTrialResult {
  /** Largest deviation of a team's use from its share, for each sample. */
  readonly errors: readonly number[];
  /** Time from which the deviation stays within 2%, in ms; else Infinity. */
  readonly convergedMs: number;
  /** Fraction of the fleet that the first team used while it was alone. */
  readonly lent: number;
  /** Smallest fraction of the fleet in use, over all samples. */
  readonly minUsed: number;
  readonly preempted: number;
  /** Number of preempted tasks in the second half of the time. */
  readonly preemptedLate: number;
}

/** Gives one team the whole fleet, then submits work of the other teams. */
export function runSharingTrial(
  options: SharingTrialOptions,
): SharingTrialResult {
  const { instances = 30, sharedMs = 30_000 } = options;
  const loopback = new Loopback({
    configuration: createFleetConfiguration({ shares: SHARES, instances }),
    seed: options.seed,
    schedulers: 6,
  });
  const cores = 3 * instances * 16;
  loopback.run(WARM_UP_MS);
  loopback.submit("storefront", longRunningBatch(1, 2 * cores));
  loopback.run(WARM_UP_MS);
  const lent = computeTeamShare(loopback, "storefront", cores);
  loopback.submit("imaging", longRunningBatch(2, cores));
  loopback.submit("ledger", longRunningBatch(1, 2 * cores));
  const errors: number[] = [];
  let minUsed = 1;
  let preemptedEarly = 0;
  for (let elapsed = 0; elapsed < sharedMs; elapsed += SAMPLE_INTERVAL_MS) {
    loopback.run(SAMPLE_INTERVAL_MS);
    errors.push(findLargestError(loopback, cores));
    if (elapsed < sharedMs / 2) {
      preemptedEarly = loopback.counter(PREEMPTED);
    }
    minUsed = Math.min(minUsed, computeUsedFraction(loopback, cores));
  }
  return {
    errors,
    convergedMs: findConvergenceMs(errors),
    lent,
    minUsed,
    preempted: loopback.counter(PREEMPTED),
    preemptedLate: loopback.counter(PREEMPTED) - preemptedEarly,
  };
}

function longRunningBatch(cpu: number, tasks: number) {
  const payload = JSON.stringify({ runMs: 3_600_000 });
  return { kind: JobKind.Batch, cpu, memoryMb: 512, tasks, payload };
}

function computeTeamShare(
  loopback: Loopback,
  team: string,
  cores: number,
): number {
  const total = { ...NO_RESOURCES, cpuMillis: cores * 1_000 };
  return dominantShare(loopback.usage().get(team) ?? NO_RESOURCES, total);
}

function computeUsedFraction(loopback: Loopback, cores: number): number {
  return Object.keys(SHARES).reduce(
    (sum, team) => sum + computeTeamShare(loopback, team, cores),
    0,
  );
}

function findLargestError(loopback: Loopback, cores: number): number {
  const all = Object.values(SHARES).reduce((sum, share) => sum + share, 0);
  return Math.max(
    ...Object.entries(SHARES).map(([team, share]) =>
      Math.abs(computeTeamShare(loopback, team, cores) - share / all)
    ),
  );
}

function findConvergenceMs(errors: readonly number[]): number {
  const last = errors.findLastIndex((error) => error > 0.02);
  return last === errors.length - 1
    ? Infinity
    : (last + 1) * SAMPLE_INTERVAL_MS;
}
