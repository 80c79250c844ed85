import { createStateKey } from "@mustardweir/kernel";
import type { Resources } from "@mustardweir/model";
import type { InstanceTable } from "@mustardweir/placement";
import type {
  AskAnswer,
  DeclineReason,
  StopMode,
  TaskEnd,
  TaskPhase,
  TaskSpec,
} from "@mustardweir/protocol";
import type { AskQueue } from "./ask_queue.ts";
import type { UnplaceableSizes } from "./unplaceable_sizes.ts";
import type { SpreadCounts } from "./spread_counts.ts";

/** Whether a worker replies to the owner of its slice. */
export enum WorkerReachability {
  /** Has not replied to this owner yet; it may run any task. */
  Unknown = "unknown",
  Reachable = "reachable",
  /** Has stopped replying; its tasks may still run. */
  Silent = "silent",
  /** Its leases have expired; it runs no task. */
  Lapsed = "lapsed",
}

/** A worker of a slice. */
export interface Worker {
  readonly instanceId: string;
  readonly address: string;
  /** Its row in the instance table. */
  readonly index: number;
  readonly rack: string;
  state: WorkerReachability;
  /** Changes with each restart of the worker; empty until it has replied. */
  incarnation: string;
  /**
   * Time since which it has kept its record of tasks, which a restart erases;
   * Infinity while unknown.
   */
  upSince: number;
  /** State sequence of the newest reply; older replies are ignored. */
  stateSeq: number;
  leaseToken: string | undefined;
  /** Time at which the newest lease token came; no lease began later. */
  leaseTokenAt: number;
  /** Time of the newest reply. */
  lastReplyAt: number;
  /** Time before which it is not called, after a call without a reply. */
  retryAt: number;
  /**
   * Time before which it gets no new work: it refused a start for lack of
   * capacity, so it has less than the inventory lists.
   */
  noCapacityUntil: number;
  /** Time at which the poll in flight was sent; undefined when there is none. */
  pollSentAt: number | undefined;
  /** The same for the call with commands in flight. */
  commandSentAt: number | undefined;
  /** Whether there are commands that no call in flight carries. */
  hasPendingCommands: boolean;
  /** The `dirtyWorkers` of its slice. */
  readonly dirtyWorkers: Set<Worker>;
  /** Whether the instance has left the inventory. */
  removed: boolean;
  readonly tasks: Set<SliceTask>;
  /** Ids of ended tasks whose ends the worker may drop. */
  readonly acks: Set<string>;
}

/** A task that has room in the slice, or that a worker has reported. */
export interface SliceTask {
  readonly task: TaskSpec;
  readonly worker: Worker;
  phase: TaskPhase;
  /** Sequence of the start; 0 while held or if an earlier owner started it. */
  startSeq: number;
  /** Deadline for the start; after it the hold or start is cancelled. */
  startBy: number;
  /** Time at which this owner first learned that it runs. */
  runningSince: number;
  /** How the worker is to stop it; undefined unless it is being stopped. */
  stop: StopMode | undefined;
  /**
   * Why the start was revoked. It is not sent any more, but a call in flight
   * may still deliver it until the worker has replied to a call with a higher
   * floor.
   */
  revokeReason: DeclineReason | undefined;
  end: TaskEnd | undefined;
  /** Time at which the end was last reported to the home. */
  endReportedAt: number;
}

/** The state that a slice keeps of a team and its home. */
export interface TeamView {
  readonly team: string;
  /** Highest epoch of a home of the team that has sent a message. */
  homeEpoch: number;
  /** Node of that home; empty until it has sent a message. */
  homeNode: string;
  /** Asks below this sequence are settled; late copies are ignored. */
  floor: number;
  readonly queue: AskQueue;
  /** Tasks by the sequence of their ask; only of the home's epoch. */
  readonly tasksBySeq: Map<number, SliceTask>;
  /** Asks whose tasks have ended; late copies must not start them again. */
  readonly settled: Set<number>;
  /** The answers to declined asks, repeated when late copies arrive. */
  readonly declined: Map<number, AskAnswer>;
  /** What the team's tasks use in the slice. */
  used: Resources;
}

/** The state of a slice on its owner. */
export interface Slice {
  readonly sliceId: string;
  readonly epoch: number;
  readonly availabilityZone: string;
  readonly acquiredAt: number;
  /**
   * Time since which a majority of the schedulers is known to be informed about
   * this owner; Infinity before.
   */
  majorityInformedSince: number;
  readonly table: InstanceTable;
  readonly unplaceable: UnplaceableSizes;
  readonly spread: SpreadCounts;
  /** Whether room or asks have come since the last grant round. */
  mayGrantMore: boolean;
  readonly workers: Map<string, Worker>;
  /** Workers that changed since their calls and eligibility were updated. */
  readonly dirtyWorkers: Set<Worker>;
  readonly tasks: Map<string, SliceTask>;
  /** Tasks of gangs for which room is held. */
  readonly held: Set<SliceTask>;
  /** Ended tasks whose homes have not acknowledged the end. */
  readonly ended: Set<SliceTask>;
  /** Ended tasks whose end has to be reported, for the first time or again. */
  readonly unreported: Set<SliceTask>;
  readonly teams: Map<string, TeamView>;
  /** By instance id. */
  readonly reservations: Map<string, Reservation>;
  window: PreemptionWindow;
  /** Progress of a drain; undefined while the zone is open. */
  drain: DrainProgress | undefined;
  nextStartSeq: number;
  /** Whether each worker has reported its tasks or is known to run none. */
  complete: boolean;
  /** Answers to homes by team, sent when the event has been handled. */
  readonly outbox: Map<string, AskAnswer[]>;
}

/** An instance kept for an ask until running tasks there have ended. */
export interface Reservation {
  readonly view: TeamView;
  /** Sequence of the ask. */
  readonly seq: number;
  /** Tasks that are stopped for it; empty if tasks there end by themselves. */
  readonly victims: readonly SliceTask[];
  readonly expiresAt: number;
}

/** Limits what is stopped for teams' entitlements in a period of time. */
export interface PreemptionWindow {
  readonly startedAt: number;
  /** Number of tasks stopped. */
  stops: number;
  /** By team: the total size of the asks for which tasks were stopped. */
  readonly granted: Map<string, Resources>;
  /** By team: what it lacked of its entitlement, computed once a window. */
  readonly gaps: Map<string, number>;
}

/** Progress of a drain of the slice's availability zone. */
export interface DrainProgress {
  readonly startedAt: number;
  /** Number of tasks that could be moved at its start. */
  readonly tasks: number;
}

/** The entitlement of each team, as a dominant share. */
export interface EntitledShares {
  readonly computedAt: number;
  readonly byTeam: ReadonlyMap<string, number>;
}

export interface SlicesState {
  readonly slices: Map<string, Slice>;
  /** Computed when first needed. */
  entitledShares: EntitledShares | undefined;
}

/** Has the pending commands sent with the next call to the worker. */
export function markCommandsPending(worker: Worker): void {
  worker.hasPendingCommands = true;
  worker.dirtyWorkers.add(worker);
}

/** Records that an instance may have more room than before. */
export function noteRoomFreed(slice: Slice): void {
  slice.unplaceable.clear();
  slice.mayGrantMore = true;
}

/** The slices that this node owns. */
export const SLICES = createStateKey<SlicesState>("slices");
