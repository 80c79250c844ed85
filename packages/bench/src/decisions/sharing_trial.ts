import { dominantShare, JobKind, NO_RESOURCES } from "@mustardweir/model";
import { createFleet } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;

/** Time between looks at what the teams have. */
const LOOK_MS = 500;

const PREEMPTED = "tasks_ended_preempted";

const SHARES = { storefront: 3, imaging: 2, ledger: 1 };

/** The fleet that teams share, and for how long. */
export interface SharingTrialOptions {
  readonly seed: number;
  /** Instances of each of the three zones; 30 by default. */
  readonly instances?: number;
  /** How long the teams share, in milliseconds; 30 s by default. */
  readonly sharedMs?: number;
}

/** How near the teams came to their shares. */
export interface SharingTrialResult {
  /** Largest difference of a team's part from its share, at each look. */
  readonly errors: readonly number[];
  /** When it first stayed within 2%, in milliseconds; Infinity if it didn't. */
  readonly convergedMs: number;
  /** The part of the fleet that the team that was alone had. */
  readonly lent: number;
  /** Part of the fleet in use, smallest of all looks. */
  readonly leastUsed: number;
  readonly preempted: number;
  /** Of them, those in the second half of the time. */
  readonly preemptedLate: number;
}

/** Lets one team have the fleet to itself, then the others come back. */
export function runSharingTrial(
  options: SharingTrialOptions,
): SharingTrialResult {
  const { instances = 30, sharedMs = 30_000 } = options;
  const loopback = new Loopback({
    configuration: createFleet({ shares: SHARES, instances }),
    seed: options.seed,
    schedulers: 6,
  });
  const cores = 3 * instances * 16;
  loopback.run(WARM_UP_MS);
  loopback.submit("storefront", endless(1, 2 * cores));
  loopback.run(WARM_UP_MS);
  const lent = partOf(loopback, "storefront", cores);
  loopback.submit("imaging", endless(2, cores));
  loopback.submit("ledger", endless(1, 2 * cores));
  const errors: number[] = [];
  let leastUsed = 1;
  let preemptedEarly = 0;
  for (let elapsed = 0; elapsed < sharedMs; elapsed += LOOK_MS) {
    loopback.run(LOOK_MS);
    errors.push(largestError(loopback, cores));
    if (elapsed < sharedMs / 2) {
      preemptedEarly = loopback.counter(PREEMPTED);
    }
    leastUsed = Math.min(leastUsed, usedPart(loopback, cores));
  }
  return {
    errors,
    convergedMs: convergedAfter(errors),
    lent,
    leastUsed,
    preempted: loopback.counter(PREEMPTED),
    preemptedLate: loopback.counter(PREEMPTED) - preemptedEarly,
  };
}

function endless(cpu: number, tasks: number) {
  const payload = JSON.stringify({ runMs: 3_600_000 });
  return { kind: JobKind.Batch, cpu, memoryMb: 512, tasks, payload };
}

function partOf(loopback: Loopback, team: string, cores: number): number {
  const total = { ...NO_RESOURCES, cpuMillis: cores * 1_000 };
  return dominantShare(loopback.usage().get(team) ?? NO_RESOURCES, total);
}

function usedPart(loopback: Loopback, cores: number): number {
  return Object.keys(SHARES).reduce(
    (sum, team) => sum + partOf(loopback, team, cores),
    0,
  );
}

function largestError(loopback: Loopback, cores: number): number {
  const all = Object.values(SHARES).reduce((sum, share) => sum + share, 0);
  return Math.max(
    ...Object.entries(SHARES).map(([team, share]) =>
      Math.abs(partOf(loopback, team, cores) - share / all)
    ),
  );
}

function convergedAfter(errors: readonly number[]): number {
  const last = errors.findLastIndex((error) => error > 0.02);
  return last === errors.length - 1 ? Infinity : (last + 1) * LOOK_MS;
}
