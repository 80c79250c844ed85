import {
  createCommand,
  createStateKey,
  type Update,
} from "@mustardweir/kernel";
import type { RecordTransaction } from "@mustardweir/protocol";

/** Phases of a node's ownership of the domain. */
export enum TenurePhase {
  Follower = "follower",
  /** A claim is in flight. */
  Claiming = "claiming",
  /** Owns the domain, but its copy of the records isn't up to date yet. */
  Opening = "opening",
  Owner = "owner",
}

/** A change that waits to be committed. */
export interface QueuedChange {
  readonly ticket: number;
  readonly part: string;
  readonly key: string;
  /** Undefined removes the record. */
  readonly value: string | undefined;
}

/** A commit in flight. */
export interface InFlightCommit {
  readonly transaction: RecordTransaction;
  readonly changes: readonly QueuedChange[];
  readonly sequence: number;
  /** Changes up to this ticket are durable once the commit succeeds. */
  readonly upToTicket: number;
  /** When this try was sent, in milliseconds. */
  readonly sentMs: number;
  /** Whether the commit makes another node the owner. */
  readonly isHandover: boolean;
}

/** This node's ownership of the domain, or its attempt to gain it. */
export interface Tenure {
  phase: TenurePhase;
  epoch: number;
  /** Store version that the copy of the records must reach before acting. */
  openedVersion: number;
  /** Version of the tenure record after the last commit. */
  version: number;
  sequence: number;
  /** Send time of the last commit that succeeded, in milliseconds. */
  confirmedMs: number;
  queue: QueuedChange[];
  /** Most changes in the next commit; fewer after the store rejected one. */
  maxChanges: number;
  lastTicket: number;
  inFlight: InFlightCommit | undefined;
  /** Smoothed duration of a commit, in milliseconds. */
  commitMs: number;
  /** Time of the next try; claims and commits wait for it, in milliseconds. */
  retryMs: number;
  isStopping: boolean;
  /** Whether the domain is to be handed over to another node. */
  isReleasing: boolean;
  /** When this node's tenure began, in milliseconds. */
  gainedMs: number;
  /**
   * When this process last gave the domain up, in milliseconds; undefined if it
   * never has.
   */
  lostMs: number | undefined;
  /** Smoothed delay of this node's timers, in milliseconds. */
  lagMs: number;
  /**
   * Total time in which this process stood still, in milliseconds; waits for
   * others are extended by what was added to it meanwhile.
   */
  stalledMs: number;
  /** Number of hand-overs in a row because the owner was slow. */
  slowHandovers: number;
  /** See the fields of the tenure record. */
  closesSince: number;
  claimedMs: number | undefined;
  /** Time of the first tick of this process, in milliseconds. */
  startedMs: number;
  lastTickMs: number;
}

/** State of the tenure plug-in. */
export const TENURE = createStateKey<Tenure>("tenure");

/**
 * Dispatched when this node owns the domain and its copy of the records is up
 * to date.
 */
export const TENURE_GAINED = createCommand<{ readonly epoch: number }>(
  "tenure-gained",
);
/** Dispatched when this node no longer owns the domain. */
export const TENURE_LOST = createCommand<{ readonly reason: string }>(
  "tenure-lost",
);
/**
 * Dispatched when the store has rejected a change for good. The changes after it
 * are written without it.
 */
export const CHANGE_REJECTED = createCommand<{ readonly key: string }>(
  "change-rejected",
);
/** Dispatched when all changes up to the given ticket are durable. */
export const CHANGES_DURABLE = createCommand<{ readonly upToTicket: number }>(
  "changes-durable",
);

/**
 * An owner that commits nothing for this long is considered failed, in
 * milliseconds.
 */
export const OWNER_TIMEOUT_MS = 1_200;

/**
 * Returns true while no other node can own the domain: they claim it only when
 * this one has committed nothing for {@link OWNER_TIMEOUT_MS}.
 */
export function isSoleOwner(update: Update): boolean {
  const { phase, confirmedMs } = update.read(TENURE);
  return phase === TenurePhase.Owner &&
    update.now - confirmedMs < OWNER_TIMEOUT_MS;
}

/** Returns true while this node owns the domain and may act on it. */
export function isOwner(update: Update): boolean {
  return update.read(TENURE).phase === TenurePhase.Owner;
}

/**
 * Queues a change of a record of the domain and returns its ticket. The change
 * is durable once {@link CHANGES_DURABLE} reports this ticket or a later one.
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
