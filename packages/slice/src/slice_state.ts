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
import type { NoRoom } from "./no_room.ts";
import type { SpreadCounts } from "./spread_counts.ts";

/** How a worker stands with the owner of its slice. */
export enum WorkerState {
  /** Has not answered this owner; it may run anything. */
  Unknown = "unknown",
  Reachable = "reachable",
  /** Answers are missing; its tasks may still run. */
  Silent = "silent",
  /** Its leases are known to be over; it runs nothing. */
  Lapsed = "lapsed",
}

/** A worker of a slice. */
export interface Worker {
  readonly instanceId: string;
  readonly address: string;
  readonly index: number;
  readonly rack: string;
  state: WorkerState;
  incarnation: string;
  /** Since when it has forgotten nothing; Infinity while that is unknown. */
  upSince: number;
  /** Of the newest answer; older answers are ignored. */
  stateSeq: number;
  leaseToken: string | undefined;
  /** When the newest lease token came; no lease began later. */
  tokenAt: number;
  heardAt: number;
  /** Not called before this time, after a call without an answer. */
  retryAt: number;
  /** Given no new work before this time: it has less than the inventory says. */
  fullUntil: number;
  /** A call that waits for news is in flight since; undefined when none. */
  pollSentAt: number | undefined;
  /** A call with commands is in flight since; undefined when none. */
  commandSentAt: number | undefined;
  /** There are commands that no call in flight carries. */
  hasNews: boolean;
  /** The slice's set of workers that have to be looked at. */
  readonly touched: Set<Worker>;
  /** The inventory no longer has the instance. */
  removed: boolean;
  readonly tasks: Set<SliceTask>;
  readonly acks: Set<string>;
}

/** A task that a slice holds room for, or knows of from a worker. */
export interface SliceTask {
  readonly task: TaskSpec;
  readonly worker: Worker;
  phase: TaskPhase;
  /** Sequence of the start; 0 while held and when an earlier owner started it. */
  startSeq: number;
  /** The room is given back when no worker is known to run it by then. */
  startBy: number;
  /** When a worker was first seen to run it. */
  runningSince: number;
  stop: StopMode | undefined;
  /**
   * Why a start was taken back. It is no longer sent; that it can't come any
   * more is known when a call with a higher floor has been answered.
   */
  takenBack: DeclineReason | undefined;
  end: TaskEnd | undefined;
  /** When the home was last told of the end. */
  toldAt: number;
}

/** What a slice knows of a team and its home. */
export interface TeamView {
  readonly team: string;
  /** Highest epoch that a home has shown. */
  homeEpoch: number;
  homeNode: string;
  /** Asks below are settled. */
  floor: number;
  readonly queue: AskQueue;
  /** Tasks by the ask that led to them; of the home's epoch only. */
  readonly bySeq: Map<number, SliceTask>;
  /** Asks whose tasks have ended; late copies must not start them again. */
  readonly settled: Set<number>;
  /** Asks that were declined and may be repeated by late copies. */
  readonly declined: Map<number, AskAnswer>;
  used: Resources;
}

/** A slice on its owner. */
export interface Slice {
  readonly sliceId: string;
  readonly epoch: number;
  readonly availabilityZone: string;
  readonly acquiredAt: number;
  /** When a majority of the schedulers was known to know of this owner. */
  claimKnownAt: number;
  readonly table: InstanceTable;
  readonly noRoom: NoRoom;
  readonly spread: SpreadCounts;
  /** Room or asks have come that a grant was not tried with. */
  mayGrantMore: boolean;
  readonly workers: Map<string, Worker>;
  /** Workers that changed since their calls and eligibility were settled. */
  readonly touched: Set<Worker>;
  readonly tasks: Map<string, SliceTask>;
  /** Tasks of gangs that room is held for. */
  readonly held: Set<SliceTask>;
  /** Ended tasks whose homes have not acknowledged the end. */
  readonly ended: Set<SliceTask>;
  /** Those of them that no home was told of. */
  readonly untold: Set<SliceTask>;
  readonly teams: Map<string, TeamView>;
  /** By instance. */
  readonly claims: Map<string, RoomClaim>;
  window: PreemptionWindow;
  /** Undefined while the zone is open. */
  drain: DrainProgress | undefined;
  nextStartSeq: number;
  /** Every worker has told what it runs, or is known to run nothing. */
  complete: boolean;
  /** Answers that are sent when the event has been handled. */
  readonly outbox: Map<string, AskAnswer[]>;
}

/** An instance that is kept for an ask while tasks there are stopped. */
export interface RoomClaim {
  readonly view: TeamView;
  readonly seq: number;
  readonly victims: readonly SliceTask[];
  readonly expiresAt: number;
}

/** What was stopped for teams' shares lately. */
export interface PreemptionWindow {
  readonly startedAt: number;
  stops: number;
  /** By team: the sizes of the asks that room was made for. */
  readonly granted: Map<string, Resources>;
  /** By team: what it lacked of its due when the window began. */
  readonly gaps: Map<string, number>;
}

/** A drain of the slice's zone. */
export interface DrainProgress {
  readonly startedAt: number;
  /** Tasks that could be moved at its start. */
  readonly tasks: number;
}

/** The dominant share that each team is due. */
export interface TeamDues {
  readonly computedAt: number;
  readonly byTeam: ReadonlyMap<string, number>;
}

export interface SlicesState {
  readonly slices: Map<string, Slice>;
  /** Undefined until they are needed. */
  dues: TeamDues | undefined;
}

/** Has commands for the worker sent with the next call. */
export function noteNews(worker: Worker): void {
  worker.hasNews = true;
  worker.touched.add(worker);
}

/** Some instance may have more room than before. */
export function noteRoom(slice: Slice): void {
  slice.noRoom.clear();
  slice.mayGrantMore = true;
}

export const SLICES = createStateKey<SlicesState>("slices");
