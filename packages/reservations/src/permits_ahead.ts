import type { PermitPolicy } from "@mustardweir/model";
import type { Reservation } from "./reservation.ts";

/** Time that a query and its reply are under way, in milliseconds. */
const NETWORK_MS = 150;
/**
 * Part of a permit's validity before the expected time from which permits are
 * renewed, because upper estimates are later than most ends.
 */
const HEAD_START = 0.5;
/** Workers that are judged for each task of a stage before no more are. */
const GOOD_PER_TASK = 2;

/** Which expired permits are renewed besides those of held workers. */
export enum RenewalScope {
  /** Those of all workers that are good for the stage. */
  All = "all",
  /** Those of workers on which a task can start now. */
  Startable = "startable",
  None = "none",
}

/** What to query the policy about before any task can start. */
export interface AheadQuery {
  /** Whether room is held for the stage; {@link renewalScope} follows from it. */
  readonly isReserved: boolean;
  /** Held workers whose permits are needed soon. */
  readonly renewed: readonly string[];
  /** Whether workers without a verdict are to be judged. */
  readonly judgesMore: boolean;
}

/**
 * Returns which expired permits a query renews. Each worker in a query delays the
 * reply to a stage whose room is held, but a task that is no member of a gang may
 * start before on any worker with room.
 *
 * @example
 * ```ts
 * renewalScope({ isReserved: true, isGang: false }); // RenewalScope.Startable
 * ```
 */
export function renewalScope(
  { isReserved, isGang }: {
    readonly isReserved: boolean;
    readonly isGang: boolean;
  },
): RenewalScope {
  if (!isReserved) {
    return RenewalScope.All;
  }
  return isGang ? RenewalScope.None : RenewalScope.Startable;
}

/**
 * Returns how long a query about some workers takes, in milliseconds.
 *
 * @example
 * ```ts
 * permitLeadMs({ decideMs: 600, perWorkerMs: 10, validMs: 2_000 }, 5); // 800
 * ```
 */
export function permitLeadMs(
  policy: PermitPolicy | undefined,
  workers: number,
): number {
  return policy === undefined
    ? 0
    : policy.decideMs + policy.perWorkerMs * workers + NETWORK_MS;
}

/**
 * Returns the time until workers that have room at `readyMs` have permits for
 * it, in milliseconds: 0 if those that they have are valid then.
 *
 * @example
 * ```ts
 * const permitMs = permitWaitMs(plan.workers, { policy, validUntilMs, readyMs });
 * ```
 */
export function permitWaitMs(
  workers: ReadonlyMap<string, number>,
  { policy, validUntilMs, readyMs }: {
    readonly policy: PermitPolicy | undefined;
    /** Returns when a worker's permit ends, in ms; undefined without one. */
    readonly validUntilMs: (workerId: string) => number | undefined;
    readonly readyMs: number;
  },
): number {
  return [...workers.keys()]
      .every((workerId) => (validUntilMs(workerId) ?? -Infinity) > readyMs)
    ? 0
    : permitLeadMs(policy, workers.size);
}

/**
 * Returns whether too few workers are allowed for a stage to choose among.
 *
 * @example
 * ```ts
 * hasTooFewGood(9, 5); // true: 10 are wanted for 5 tasks
 * ```
 */
export function hasTooFewGood(good: number, tasks: number): boolean {
  return good < GOOD_PER_TASK * tasks;
}

/**
 * Returns the held workers whose permits would be over when the reply to a
 * query could be there, once the expected time is near.
 *
 * @example
 * ```ts
 * const renewed = permitsToRenew(reservation, { policy, validUntilMs, now });
 * ```
 */
export function permitsToRenew(
  { workers, expectedMs }: Reservation,
  { policy, validUntilMs, now }: {
    readonly policy: PermitPolicy;
    /** Returns when a worker's permit ends, in ms; undefined without one. */
    readonly validUntilMs: (workerId: string) => number | undefined;
    readonly now: number;
  },
): string[] {
  const leadMs = permitLeadMs(policy, workers.size);
  if (now + leadMs + HEAD_START * policy.validMs < expectedMs) {
    return [];
  }
  return [...workers.keys()].filter((workerId) =>
    (validUntilMs(workerId) ?? -Infinity) < now + leadMs
  );
}
