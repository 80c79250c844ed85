import { createStateKey, type Update } from "@mustardweir/kernel";
import type {
  EndReason,
  JobSpec,
  Outcome,
  Resources,
} from "@mustardweir/model";
import type { ForgottenIds } from "./forgotten_ids.ts";
import type { JobQueue } from "./job_queue.ts";
import type { StartRate } from "./start_rate.ts";
import type { TightRoom } from "./tight_room.ts";
import type { TimerHeap } from "./timer_heap.ts";

/** How far a home is with taking over from an earlier owner. */
export enum HomePhase {
  /** The journal is being read. */
  Loading = "loading",
  /** Slices are being asked what they run for the team. */
  Fencing = "fencing",
  Active = "active",
}

/** Where a task stands, as the home knows it. */
export enum TaskState {
  /** Waits for room, or for the slices to tell whether it runs. */
  Pending = "pending",
  /** Waits until the journal says that it may start. */
  Recording = "recording",
  /** A slice was asked for room. */
  Asked = "asked",
  /** A slice holds room for it; its gang is not complete. */
  Held = "held",
  Started = "started",
  Ended = "ended",
}

/** One task of a job. */
export interface HomeTask {
  readonly job: HomeJob;
  readonly index: number;
  state: TaskState;
  /** Sequence of the ask in force; 0 when there is none. */
  seq: number;
  taskId: string;
  sliceId: string;
  sliceEpoch: number;
  instanceId: string;
  /** When the ask was first sent, and when it was last sent. */
  askedAt: number;
  sentAt: number;
  /** The ask is being taken back. */
  withdrawn: boolean;
  /** A stop was asked for and nothing more may be started. */
  stopping: boolean;
  /** The journal says that the task may have been started. */
  startRecorded: boolean;
  checkpoint: string | undefined;
  failures: number;
  endReason: EndReason | undefined;
}

/** Someone who waits for news of a job. */
export interface Waiter {
  readonly from: string;
  readonly callId: string;
}

export enum GangPhase {
  Idle = "idle",
  Holding = "holding",
  /** Everything is held; starts were asked for. */
  Committed = "committed",
  /** Gives back what it holds or runs, to try again later. */
  Releasing = "releasing",
}

/** A job as its home keeps it. */
export interface HomeJob {
  readonly jobId: string;
  readonly spec: JobSpec;
  readonly specHash: string;
  readonly size: Resources;
  readonly tasks: HomeTask[];
  /** Number of its tasks that have ended. */
  endedTasks: number;
  /** Tasks asked for, held or running, by the slice that has them. */
  readonly tasksBySlice: Map<string, number>;
  /** False for idempotent requests: losing them is made good by a repeat. */
  readonly journaled: boolean;
  readonly createdAt: number;
  /** The acceptance is on record, or needs no record. */
  accepted: boolean;
  /** Not started later than this; Infinity when it does not matter. */
  startBy: number;
  firstStartAt: number | undefined;
  /** An earlier home may have started it, without a record of the start. */
  mayHaveRun: boolean;
  cancelled: boolean;
  gang: GangPhase;
  gangNotBefore: number;
  /** Its holds add up for a while, as there is no room for all at once. */
  accumulates: boolean;
  outcome: Outcome | undefined;
  reason: EndReason | undefined;
  answer: string | undefined;
  /** The end is on record, or needs no record. */
  endRecorded: boolean;
  endedAt: number;
  acceptWaiters: Waiter[];
  endWaiters: Waiter[];
  cancelWaiters: Waiter[];
}

/** What the home knows of a slice. */
export interface SliceView {
  readonly sliceId: string;
  /** Epoch under which the slice's owner knows this home; 0 when none. */
  fencedEpoch: number;
  complete: boolean;
  fenceSentAt: number;
  /** Asks without an answer. */
  outstanding: number;
  /** Sum of what was asked for since the slice last told its free room. */
  askedSince: Resources;
  heardAt: number;
  /** Not asked before this time, after it declined all alike. */
  notBefore: number;
  /** Sizes that it has no room for. */
  readonly tight: TightRoom;
}

/** The home of a team on its owner. */
export interface Home {
  readonly team: string;
  readonly epoch: number;
  readonly acquiredAt: number;
  phase: HomePhase;
  readonly jobs: Map<string, HomeJob>;
  /** Tasks that are asked for or held, by the sequence of the ask. */
  readonly bySeq: Map<number, HomeTask>;
  /** Tasks with an attempt in force, by its id. */
  readonly byTaskId: Map<string, HomeTask>;
  /** Tasks that wait for room; urgent ones apart. */
  readonly urgent: JobQueue;
  readonly normal: JobQueue;
  /** Jobs that ended lately and are not kept. */
  readonly forgotten: ForgottenIds;
  /** Starts of requests lately. */
  readonly requestStarts: StartRate;
  /** Since when many requests have waited; undefined while few do. */
  crowdedSince: number | undefined;
  /** Tasks that failed and wait until they are queued again. */
  readonly delayed: TimerHeap<HomeTask>;
  /** Jobs by the time until when they are of use, unless they started. */
  readonly deadlines: TimerHeap<HomeJob>;
  /** Gangs that hold, commit or give back room. */
  readonly activeGangs: Set<HomeJob>;
  /** Cancelled jobs whose end is not on record. */
  readonly cancelling: Set<HomeJob>;
  /** Tasks whose stop may have to be asked for again. */
  readonly stopping: Set<HomeTask>;
  nextSeq: number;
  /** Jobs whose end is not on record. */
  liveJobs: number;
  /** What is asked for, held or running. */
  used: Resources;
  readonly slices: Map<string, SliceView>;
}

export interface HomesState {
  readonly homes: Map<string, Home>;
}

export const HOMES = createStateKey<HomesState>("homes");

/** The home of `team`, when this node owns it. */
export function findHome(update: Update, team: string): Home | undefined {
  return update.write(HOMES).homes.get(team);
}

/** True when the task takes room, or may. */
export function takesRoom(task: HomeTask): boolean {
  return task.state === TaskState.Asked || task.state === TaskState.Held ||
    task.state === TaskState.Started;
}
