import { createStateKey, type Update } from "@mustardweir/kernel";
import type {
  EndReason,
  JobSpec,
  Outcome,
  Resources,
} from "@mustardweir/model";
import type { EvictedJobIds } from "./evicted_job_ids.ts";
import type { JobQueue } from "./job_queue.ts";
import type { StartRate } from "./start_rate.ts";
import type { PlaceabilityCache } from "./placeability_cache.ts";
import type { TimerHeap } from "./timer_heap.ts";

/** Progress of a home in taking over from an earlier owner. */
export enum HomePhase {
  /** The journal is being read. */
  Loading = "loading",
  /** The slices have yet to report what they run for the team. */
  Fencing = "fencing",
  Active = "active",
}

/** State of a task, as its home knows it. */
export enum TaskState {
  /** Waits for room, or until the slices have reported whether it runs. */
  Pending = "pending",
  /** Waits until its start is recorded in the journal. */
  Recording = "recording",
  /** A slice was asked for room. */
  Asked = "asked",
  /** A slice holds room for it until its gang is complete. */
  Held = "held",
  Started = "started",
  Ended = "ended",
}

/** One task of a job. */
export interface HomeTask {
  readonly job: HomeJob;
  readonly index: number;
  state: TaskState;
  /** Sequence number of the current ask; 0 if there is none. */
  seq: number;
  taskId: string;
  sliceId: string;
  sliceEpoch: number;
  instanceId: string;
  /** Time at which the current ask was first sent. */
  askedAt: number;
  /** Time at which the ask or the stop request was last sent. */
  lastSentAt: number;
  /** Whether the ask is being withdrawn. */
  withdrawn: boolean;
  /** Whether a stop was requested, after which nothing more is started. */
  stopping: boolean;
  /** Whether the journal records that the task may have been started. */
  startRecorded: boolean;
  checkpoint: string | undefined;
  failures: number;
  endReason: EndReason | undefined;
}

/** A call that waits for a reply about a job. */
export interface Waiter {
  readonly from: string;
  readonly callId: string;
}

export enum GangPhase {
  Idle = "idle",
  Holding = "holding",
  /** All room is held; the starts were requested. */
  Committed = "committed",
  /** Releases its room and stops its tasks, to try again later. */
  Releasing = "releasing",
}

/** A job and its state at the home. */
export interface HomeJob {
  readonly jobId: string;
  readonly spec: JobSpec;
  readonly specHash: string;
  readonly size: Resources;
  readonly tasks: HomeTask[];
  /** Number of its tasks that have ended. */
  endedTasks: number;
  /** Number of its tasks that are asked for, held or running, by slice id. */
  readonly tasksBySlice: Map<string, number>;
  /**
   * False for idempotent requests, whose callers repeat them if they are lost.
   */
  readonly journaled: boolean;
  readonly createdAt: number;
  /** Whether the acceptance is recorded in the journal or needs no record. */
  accepted: boolean;
  /** Time after which the job is not started; Infinity if there is no limit. */
  startBy: number;
  firstStartAt: number | undefined;
  /**
   * Whether an earlier home may have started it without recording the start.
   */
  mayHaveRun: boolean;
  cancelled: boolean;
  gang: GangPhase;
  gangRetryAt: number;
  /** Whether its holds accumulate, because there is no room for all at once. */
  accumulatesHolds: boolean;
  outcome: Outcome | undefined;
  reason: EndReason | undefined;
  answer: string | undefined;
  /** Whether the end is recorded in the journal or needs no record. */
  endRecorded: boolean;
  endedAt: number;
  acceptWaiters: Waiter[];
  endWaiters: Waiter[];
  cancelWaiters: Waiter[];
}

/** State that a home keeps for a slice. */
export interface SliceView {
  readonly sliceId: string;
  /**
   * Epoch of the slice whose owner has acknowledged this home; 0 if none has.
   */
  fencedEpoch: number;
  complete: boolean;
  fenceSentAt: number;
  /** Number of asks without an answer. */
  outstanding: number;
  /** Sum of the sizes asked for since the slice last reported its free room. */
  askedSince: Resources;
  summaryReceivedAt: number;
  /**
   * Time until which the slice is not asked, after it declined for another
   * reason than lack of room.
   */
  pausedUntil: number;
  /** Cache of the sizes that it has no room for. */
  readonly placeability: PlaceabilityCache;
}

/** State of a team's home on the node that owns it. */
export interface Home {
  readonly team: string;
  readonly epoch: number;
  readonly acquiredAt: number;
  phase: HomePhase;
  readonly jobs: Map<string, HomeJob>;
  /** Tasks that are asked for or held, by the sequence number of the ask. */
  readonly bySeq: Map<number, HomeTask>;
  /** Tasks with a current attempt, by the attempt's id. */
  readonly byTaskId: Map<string, HomeTask>;
  /** Tasks that wait for room; urgent ones are queued separately. */
  readonly urgent: JobQueue;
  readonly normal: JobQueue;
  /** Ids of recently ended jobs that are no longer kept. */
  readonly evicted: EvictedJobIds;
  /** Rate at which requests started recently. */
  readonly requestStarts: StartRate;
  /** Time since which many requests have waited; undefined while few do. */
  backloggedSince: number | undefined;
  /** Failed tasks, by the time at which they are queued again. */
  readonly delayed: TimerHeap<HomeTask>;
  /** Jobs by the time until which they may start. */
  readonly deadlines: TimerHeap<HomeJob>;
  /** Gangs that hold, commit or release room. */
  readonly activeGangs: Set<HomeJob>;
  /** Cancelled jobs whose end is not recorded yet. */
  readonly cancelling: Set<HomeJob>;
  /** Tasks whose stop request may have to be sent again. */
  readonly stopping: Set<HomeTask>;
  nextSeq: number;
  /** Number of jobs whose end is not recorded yet. */
  liveJobs: number;
  /** Resources that are asked for, held or used by running tasks. */
  used: Resources;
  readonly slices: Map<string, SliceView>;
}

export interface HomesState {
  readonly homes: Map<string, Home>;
}

export const HOMES = createStateKey<HomesState>("homes");

/** Returns the home of `team`; undefined if this node doesn't own it. */
export function findHome(update: Update, team: string): Home | undefined {
  return update.write(HOMES).homes.get(team);
}

/** True if the task occupies room or may do so. */
export function takesRoom(task: HomeTask): boolean {
  return task.state === TaskState.Asked || task.state === TaskState.Held ||
    task.state === TaskState.Started;
}
