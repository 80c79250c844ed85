import type {
  JobAdmitted,
  JobsProgressed,
  PermitReply,
  PermitRequest,
  StoreReply,
  StoreRequest,
} from "./domain_messages.ts";
import type {
  JobSpec,
  JobStatus,
  Refusal,
  Resources,
} from "@mustardweir/model";
import type { BurnRecord, BurnRequest } from "./burn_messages.ts";
import type { StopMode, TaskEnd, TaskSpec } from "./tasks.ts";

/** Kinds of message between the system's own processes. */
export enum PeerMessageKind {
  Heartbeat = 1,
  HomeCall = 2,
  HomeReply = 3,
  FenceHome = 4,
  HomeInventory = 5,
  AskRoom = 6,
  WithdrawAsks = 7,
  CommitHolds = 8,
  RoomAnswer = 9,
  StopTasks = 10,
  TaskEvents = 11,
  TaskEventsAck = 12,
  BurnRequest = 13,
  BurnRecord = 14,
  VouchRequest = 15,
  Vouch = 16,
  AnnounceEdit = 17,
  EditAnnounced = 18,
  JobAdmitted = 19,
  PermitRequest = 20,
  PermitReply = 21,
  StoreRequest = 22,
  StoreReply = 23,
  JobsProgressed = 24,
}

/** A unit that a scheduler owns under an epoch: a home or a slice. */
export interface OwnedUnit {
  readonly unit: string;
  readonly epoch: number;
}

/** One slice's room and load, as reported in heartbeats. */
export interface SliceSummary {
  readonly sliceId: string;
  readonly epoch: number;
  readonly free: Resources;
  readonly total: Resources;
  /** The number of asks that wait for room. */
  readonly waiting: number;
}

/** A team's resource use on the slices of one scheduler. */
export interface TeamUsage {
  readonly team: string;
  readonly used: Resources;
  /** Number of tasks that wait for room; reported by the home's owner. */
  readonly waiting?: number;
}

/** Sent to every peer twice a second, and at once when the node stops. */
export interface Heartbeat {
  readonly kind: PeerMessageKind.Heartbeat;
  readonly nodeId: string;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly configurationVersion: number;
  readonly stopping: boolean;
  readonly owned: readonly OwnedUnit[];
  /** Units that a peer claims under an outdated epoch, with the newest one. */
  readonly superseded: readonly OwnedUnit[];
  readonly slices: readonly SliceSummary[];
  readonly usage: readonly TeamUsage[];
}

/** Kinds of call that entries forward to a team's home. */
export enum HomeCallKind {
  Submit = "submit",
  Status = "status",
  Cancel = "cancel",
  List = "list",
}

/** Submits a job; a repeat with the same key returns the existing job. */
export interface SubmitCall {
  readonly kind: HomeCallKind.Submit;
  readonly idempotencyKey: string;
  readonly spec: JobSpec;
}

/** Requests the status of one job. */
export interface StatusCall {
  readonly kind: HomeCallKind.Status;
  readonly jobId: string;
}

/** Cancels a job; its running tasks are stopped. */
export interface CancelCall {
  readonly kind: HomeCallKind.Cancel;
  readonly jobId: string;
}

/** Requests the status of all jobs of the home. */
export interface ListCall {
  readonly kind: HomeCallKind.List;
}

/** A call to a home by kind, with its arguments. */
export type HomeCallBody = SubmitCall | StatusCall | CancelCall | ListCall;

/** A caller's call that an entry forwards to the team's home. */
export interface HomeCall {
  readonly kind: PeerMessageKind.HomeCall;
  /** Unique; identifies the call in the reply. */
  readonly callId: string;
  readonly team: string;
  /** Id of the key that the caller used. */
  readonly keyId: string;
  /** Time left for the reply, in milliseconds. */
  readonly ttlMs: number;
  readonly call: HomeCallBody;
}

/** Kinds of reply of a home. */
export enum HomeReplyKind {
  Status = "status",
  List = "list",
  Refused = "refused",
  /** The receiver does not own the home; `owner`, if set, may. */
  NotOwner = "not-owner",
}

/** A reply by kind, with its content. */
export type HomeReplyBody =
  | { readonly kind: HomeReplyKind.Status; readonly status: JobStatus }
  | {
    readonly kind: HomeReplyKind.List;
    readonly jobs: readonly JobStatus[];
    readonly running: Resources;
  }
  | { readonly kind: HomeReplyKind.Refused; readonly refusal: Refusal }
  | { readonly kind: HomeReplyKind.NotOwner; readonly owner?: string };

/**
 * A home's reply to a call. For a job of kind request it is sent when the task
 * has ended, for other jobs on acceptance.
 */
export interface HomeReply {
  readonly kind: PeerMessageKind.HomeReply;
  readonly callId: string;
  readonly reply: HomeReplyBody;
}

/** Home and slice of a message with their epochs; stale epochs are refused. */
export interface HomeSliceAddress {
  readonly team: string;
  readonly homeEpoch: number;
  readonly sliceId: string;
  readonly sliceEpoch: number;
}

/** Announces a home's new epoch; the slice drops asks of older epochs. */
export interface FenceHome extends HomeSliceAddress {
  readonly kind: PeerMessageKind.FenceHome;
}

/** Phase of one attempt of a task on its slice. */
export enum TaskPhase {
  /** Room is reserved; nothing has been sent to a worker. */
  Held = "held",
  /** The start was sent; a worker may have received it. */
  Starting = "starting",
  Running = "running",
  Ended = "ended",
}

/** A slice's report of one task. */
export interface TaskReport {
  readonly task: TaskSpec;
  readonly phase: TaskPhase;
  readonly instanceId: string;
  readonly end?: TaskEnd;
}

/** A slice's report of a team's tasks, in reply to {@link FenceHome}. */
export interface HomeInventory extends HomeSliceAddress {
  readonly kind: PeerMessageKind.HomeInventory;
  /** False while the slice waits for its workers to report their tasks. */
  readonly complete: boolean;
  /**
   * Length of the period up to now, in milliseconds, in which no worker of the
   * slice can have lost a task. A task that was asked for in this period and
   * isn't listed did not run.
   */
  readonly knownForMs: number;
  readonly tasks: readonly TaskReport[];
}

/** How a slice handles an ask once there is room for it. */
export enum AskMode {
  /** Starts the task as soon as there is room. */
  Start = "start",
  /** Reserves room; the task starts on `CommitHolds`. */
  Hold = "hold",
}

/** A request for room for one attempt of a task. */
export interface Ask {
  /** Increases with each ask of a home. */
  readonly seq: number;
  readonly mode: AskMode;
  readonly task: TaskSpec;
  /** How long the ask may wait for room, in milliseconds. */
  readonly ttlMs: number;
}

/** A home's asks for room; resent unchanged until the slice replies. */
export interface AskRoom extends HomeSliceAddress {
  readonly kind: PeerMessageKind.AskRoom;
  /** Asks below this sequence number are done; late copies are ignored. */
  readonly floor: number;
  readonly asks: readonly Ask[];
}

/** Withdraws asks and holds; the reply to each is declined or started. */
export interface WithdrawAsks extends HomeSliceAddress {
  readonly kind: PeerMessageKind.WithdrawAsks;
  readonly seqs: readonly number[];
}

/** Starts the tasks for which room is held. */
export interface CommitHolds extends HomeSliceAddress {
  readonly kind: PeerMessageKind.CommitHolds;
  readonly seqs: readonly number[];
}

/** Result of an ask. */
export enum RoomResult {
  Started = "started",
  Held = "held",
  /** The task did not start and this ask will not start it. */
  Declined = "declined",
}

/** Why an ask was declined. */
export enum DeclineReason {
  NoRoom = "no-room",
  Withdrawn = "withdrawn",
  /** The availability zone accepts no new work. */
  ZoneClosed = "zone-closed",
  /** The worker refused the start. */
  Refused = "refused",
  Overloaded = "overloaded",
}

/** A slice's reply to one ask. */
export interface AskAnswer {
  readonly seq: number;
  readonly taskId: string;
  readonly result: RoomResult;
  readonly reason?: DeclineReason;
  readonly instanceId?: string;
}

/** A slice's replies to asks, withdrawals and commits. */
export interface RoomAnswer extends HomeSliceAddress {
  readonly kind: PeerMessageKind.RoomAnswer;
  readonly answers: readonly AskAnswer[];
}

/** Stops tasks that hold room or run; task events report their ends. */
export interface StopTasks extends HomeSliceAddress {
  readonly kind: PeerMessageKind.StopTasks;
  readonly taskIds: readonly string[];
  readonly mode: StopMode;
}

/** Reports that a task has started to run or has ended. */
export interface TaskEvent {
  readonly task: TaskSpec;
  readonly phase: TaskPhase.Running | TaskPhase.Ended;
  readonly instanceId: string;
  readonly end?: TaskEnd;
}

/** Events sent to the home; ends are resent until acknowledged. */
export interface TaskEvents extends HomeSliceAddress {
  readonly kind: PeerMessageKind.TaskEvents;
  readonly events: readonly TaskEvent[];
}

/** Acknowledges ends that the home recorded; workers may discard the tasks. */
export interface TaskEventsAck extends HomeSliceAddress {
  readonly kind: PeerMessageKind.TaskEventsAck;
  readonly taskIds: readonly string[];
}

/**
 * Requests a {@link Vouch}: what a scheduler has that is newer than the
 * sender's state. Sent by nodes that can't read the table, or that must be sure
 * that other schedulers have received their claims.
 */
export interface VouchRequest {
  readonly kind: PeerMessageKind.VouchRequest;
  /** The sender's clock in milliseconds; copied into the reply. */
  readonly tickMs: number;
  readonly owned: readonly OwnedUnit[];
}

/**
 * The reply to {@link VouchRequest}: the sender's latest state at some time
 * after the request was sent.
 */
export interface Vouch {
  readonly kind: PeerMessageKind.Vouch;
  readonly tickMs: number;
  /**
   * Whether the sender can't have lost an announcement; false for some time
   * after its start, since its previous process may have received one.
   */
  readonly isSure: boolean;
  /** Highest configuration version that is, or may become, active. */
  readonly newestVersion: number;
  /** Instances that the platform's list last showed as leaving. */
  readonly leaving: readonly string[];
  /** Units of the requesting node that others own under a higher epoch. */
  readonly superseded: readonly OwnedUnit[];
}

/** Sent to a majority of the schedulers before an edit is written. */
export interface AnnounceEdit {
  readonly kind: PeerMessageKind.AnnounceEdit;
  /** Identifies the announcement; copied into the reply. */
  readonly announcementId: string;
  /** The configuration version that the edit would create. */
  readonly version: number;
}

/**
 * Reply to {@link AnnounceEdit}: the sender will not vouch for older versions
 * until it knows the outcome of the edit.
 */
export interface EditAnnounced {
  readonly kind: PeerMessageKind.EditAnnounced;
  readonly announcementId: string;
}

/** Every message between the system's own processes. */
export type PeerMessage =
  | Heartbeat
  | HomeCall
  | HomeReply
  | FenceHome
  | HomeInventory
  | AskRoom
  | WithdrawAsks
  | CommitHolds
  | RoomAnswer
  | StopTasks
  | TaskEvents
  | TaskEventsAck
  | BurnRequest
  | BurnRecord
  | VouchRequest
  | Vouch
  | AnnounceEdit
  | EditAnnounced
  | JobAdmitted
  | JobsProgressed
  | PermitRequest
  | PermitReply
  | StoreRequest
  | StoreReply;
