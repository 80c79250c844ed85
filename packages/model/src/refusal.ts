import { Outcome } from "./job.ts";

/** Why a call was refused. */
export enum RefusalReason {
  Malformed = "malformed",
  BodyTooLarge = "body-too-large",
  UnknownKey = "unknown-key",
  KeyWithdrawn = "key-withdrawn",
  NotPermitted = "not-permitted",
  NotFound = "not-found",
  /** Larger than any instance, or than the team's ceiling. */
  Impossible = "impossible",
  /** The idempotency key was already used with a different body. */
  KeyReused = "idempotency-key-reused",
  /** The edit is based on a version that is no longer the newest. */
  StaleEdit = "stale-edit",
  /** The node can't confirm that its configuration is the newest version. */
  ConfigurationUnconfirmed = "configuration-unconfirmed",
  Overloaded = "overloaded",
  DeadlinePassed = "deadline-passed",
  /** The node is stopping. */
  Stopping = "stopping",
  /** No scheduler currently owns the team's home. */
  NoHome = "no-home",
  StoreUnavailable = "store-unavailable",
}

const RETRYABLE: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.ConfigurationUnconfirmed,
  RefusalReason.Overloaded,
  RefusalReason.DeadlinePassed,
  RefusalReason.Stopping,
  RefusalReason.NoHome,
  RefusalReason.StoreUnavailable,
]);

/** Why a call was not served, and whether its work has run. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** One human-readable line. */
  readonly message: string;
  readonly outcome: Outcome;
  /** Whether the same call may succeed later. */
  readonly retryable: boolean;
}

/** The parts of a refusal that don't follow from its reason. */
export interface RefusalOptions {
  readonly message: string;
  /** `Outcome.NotRun` by default. */
  readonly outcome?: Outcome;
}

/**
 * Creates a refusal; whether the call is retryable follows from the reason.
 *
 * @example
 * ```ts
 * refuse(RefusalReason.UnknownKey, { message: "The key is not known" });
 * ```
 */
export function refuse(
  reason: RefusalReason,
  options: RefusalOptions,
): Refusal {
  return {
    reason,
    message: options.message,
    outcome: options.outcome ?? Outcome.NotRun,
    retryable: RETRYABLE.has(reason),
  };
}
