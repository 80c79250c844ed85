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
  /** The idempotency key came before with another body. */
  KeyReused = "idempotency-key-reused",
  /** The edit was made against an older version. */
  StaleEdit = "stale-edit",
  /** The configuration can't be confirmed to be in force. */
  ConfigurationUnconfirmed = "configuration-unconfirmed",
  Overloaded = "overloaded",
  DeadlinePassed = "deadline-passed",
  /** The node is stopping. */
  Stopping = "stopping",
  /** No scheduler holds the team's home at the moment. */
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

/** A call that was not served, and what is known of its work. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** One line for people. */
  readonly message: string;
  readonly outcome: Outcome;
  /** Whether the same call may succeed later. */
  readonly retryable: boolean;
}

/** What a refusal tells beside its reason. */
export interface RefusalOptions {
  readonly message: string;
  /** `Outcome.NotRun` by default. */
  readonly outcome?: Outcome;
}

/**
 * Makes a refusal; whether a retry helps follows from the reason.
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
