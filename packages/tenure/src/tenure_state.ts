import {
  createCommand,
  createStateKey,
  type Update,
} from "@mustardweir/kernel";
import type { RecordTransaction } from "@mustardweir/protocol";

/** Whether this node owns the domain. */
export enum TenurePhase {
  Follower = "follower",
  /** A claim is on its way. */
  Claiming = "claiming",
  /** Owns the domain, but its copy of the records isn't up to date yet. */
  Opening = "opening",
  Owner = "owner",
}

/** Changes that wait to be made durable. */
export interface QueuedChange {
  readonly ticket: number;
  readonly part: string;
  readonly key: string;
  /** Absent to remove the record. */
  readonly value: string | undefined;
}

/** A commit that is on its way. */
export interface InFlightCommit {
  readonly transaction: RecordTransaction;
  readonly sequence: number;
  /** Tickets up to this one are durable when it succeeds. */
  readonly upToTicket: number;
  /** When this try was sent, in milliseconds. */
  readonly sentMs: number;
  readonly handsOver: boolean;
}

/** What this node knows of its own tenure. */
export interface Tenure {
  phase: TenurePhase;
  epoch: number;
  /** Version up to which the records must be known to act as owner. */
  openedVersion: number;
  /** Version of the tenure record after the last commit. */
  version: number;
  sequence: number;
  /** Send time of the last commit that succeeded, in milliseconds. */
  confirmedMs: number;
  queue: QueuedChange[];
  lastTicket: number;
  inFlight: InFlightCommit | undefined;
  /** Smoothed time of a commit, in milliseconds. */
  commitMs: number;
  /** Not tried again before this time, in milliseconds. */
  retryMs: number;
  isStopping: boolean;
  /** The domain is to be handed to another node. */
  isReleasing: boolean;
  /** When this node became the owner, in milliseconds. */
  gainedMs: number;
  /** How late this node's timers are of late, in milliseconds. */
  lagMs: number;
  lastTickMs: number;
}

/** State of the tenure plug-in. */
export const TENURE = createStateKey<Tenure>("tenure");

/** This node owns the domain and its copy of the records is up to date. */
export const TENURE_GAINED = createCommand<{ readonly epoch: number }>(
  "tenure-gained",
);
/** This node owns the domain no more. */
export const TENURE_LOST = createCommand<{ readonly reason: string }>(
  "tenure-lost",
);
/** Changes with tickets up to this one are durable. */
export const CHANGES_DURABLE = createCommand<{ readonly upToTicket: number }>(
  "changes-durable",
);

/** True while this node owns the domain and may act on it. */
export function isOwner(update: Update): boolean {
  return update.read(TENURE).phase === TenurePhase.Owner;
}

/**
 * Queues a change of a record of the domain's part. The change is durable
 * once {@link CHANGES_DURABLE} names its ticket.
 *
 * @example
 * ```ts
 * const ticket = queueChange(update, recordKey(RecordKind.Progress, id), text);
 * ```
 */
export function queueChange(
  update: Update,
  { part, key }: { readonly part: string; readonly key: string },
  value: string | undefined,
): number {
  const tenure = update.write(TENURE);
  const ticket = ++tenure.lastTicket;
  tenure.queue.push({ ticket, part, key, value });
  return ticket;
}
