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

/** What an owner holds of the fleet: a home or a slice, under an epoch. */
export interface OwnedUnit {
  readonly unit: string;
  readonly epoch: number;
}

/** One slice's room and load, as told in heartbeats. */
export interface SliceSummary {
  readonly sliceId: string;
  readonly epoch: number;
  readonly free: Resources;
  readonly total: Resources;
  /** Asks that wait for room. */
  readonly waiting: number;
}

/** What a team uses on the slices of one scheduler. */
export interface TeamUsage {
  readonly team: string;
  readonly used: Resources;
  /** Tasks that wait for room; told by the home's owner. */
  readonly waiting?: number;
}

/** Sent to every peer twice a second; a stopping node says so at once. */
export interface Heartbeat {
  readonly kind: PeerMessageKind.Heartbeat;
  readonly nodeId: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly configurationVersion: number;
  readonly stopping: boolean;
  readonly owned: readonly OwnedUnit[];
  /** Units that another peer claims with an older epoch than is known. */
  readonly superseded: readonly OwnedUnit[];
  readonly slices: readonly SliceSummary[];
  readonly usage: readonly TeamUsage[];
}

/** Calls that entries pass on to a team's home. */
export enum HomeCallKind {
  Submit = "submit",
  Status = "status",
  Cancel = "cancel",
  List = "list",
}

/** Submits a job; a repeat with the same key finds the job it made. */
export interface SubmitCall {
  readonly kind: HomeCallKind.Submit;
  readonly idempotencyKey: string;
  readonly spec: JobSpec;
}

/** Asks for the status of one job. */
export interface StatusCall {
  readonly kind: HomeCallKind.Status;
  readonly jobId: string;
}

/** Cancels a job; its running tasks are stopped. */
export interface CancelCall {
  readonly kind: HomeCallKind.Cancel;
  readonly jobId: string;
}

/** Asks for all jobs that the home knows. */
export interface ListCall {
  readonly kind: HomeCallKind.List;
}

/** A call to a home by kind, with its arguments. */
export type HomeCallBody = SubmitCall | StatusCall | CancelCall | ListCall;

/** A caller's call, passed on by an entry to the team's home. */
export interface HomeCall {
  readonly kind: PeerMessageKind.HomeCall;
  /** Unique; the reply carries it back. */
  readonly callId: string;
  readonly team: string;
  /** Id of the key that the caller presented. */
  readonly keyId: string;
  /** Time left to answer, in milliseconds. */
  readonly ttlMs: number;
  readonly call: HomeCallBody;
}

/** Kinds of reply of a home. */
export enum HomeReplyKind {
  Status = "status",
  List = "list",
  Refused = "refused",
  /** The receiver does not hold the home; `owner` may. */
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

/** For a request, sent when its task has ended; otherwise on acceptance. */
export interface HomeReply {
  readonly kind: PeerMessageKind.HomeReply;
  readonly callId: string;
  readonly reply: HomeReplyBody;
}

/** Names home and slice with both epochs; stale ones are refused. */
export interface HomeSliceAddress {
  readonly team: string;
  readonly homeEpoch: number;
  readonly sliceId: string;
  readonly sliceEpoch: number;
}

/** A new home shows its epoch; the slice forgets asks of older ones. */
export interface FenceHome extends HomeSliceAddress {
  readonly kind: PeerMessageKind.FenceHome;
}

/** How far one attempt of a task has come on its slice. */
export enum TaskPhase {
  /** Room is reserved; nothing has been sent to a worker. */
  Held = "held",
  /** A worker may have it. */
  Starting = "starting",
  Running = "running",
  Ended = "ended",
}

/** One task that a slice knows of. */
export interface TaskReport {
  readonly task: TaskSpec;
  readonly phase: TaskPhase;
  readonly instanceId: string;
  readonly end?: TaskEnd;
}

/** What a slice knows of a team's tasks, in answer to a fence. */
export interface HomeInventory extends HomeSliceAddress {
  readonly kind: PeerMessageKind.HomeInventory;
  /** False while workers have yet to tell what they run. */
  readonly complete: boolean;
  /**
   * For how long, in milliseconds until now, no worker of the slice can have
   * forgotten a task. What was asked for since and isn't listed did not run.
   */
  readonly knownForMs: number;
  readonly tasks: readonly TaskReport[];
}

/** What a slice does once it has found room for an ask. */
export enum AskMode {
  /** Start as soon as there is room. */
  Start = "start",
  /** Reserve room; start on `CommitHolds`. */
  Hold = "hold",
}

/** A request for room for one attempt of a task. */
export interface Ask {
  /** Grows with each ask of a home. */
  readonly seq: number;
  readonly mode: AskMode;
  readonly task: TaskSpec;
  /** How long the ask may wait for room, in milliseconds. */
  readonly ttlMs: number;
}

/** A home asks for room. Sent again unchanged until it is answered. */
export interface AskRoom extends HomeSliceAddress {
  readonly kind: PeerMessageKind.AskRoom;
  /** Asks below this sequence are settled; late copies are ignored. */
  readonly floor: number;
  readonly asks: readonly Ask[];
}

/** Takes back asks and holds; each is answered declined or started. */
export interface WithdrawAsks extends HomeSliceAddress {
  readonly kind: PeerMessageKind.WithdrawAsks;
  readonly seqs: readonly number[];
}

/** Starts the tasks that hold room. */
export interface CommitHolds extends HomeSliceAddress {
  readonly kind: PeerMessageKind.CommitHolds;
  readonly seqs: readonly number[];
}

/** What an ask has led to. */
export enum RoomResult {
  Started = "started",
  Held = "held",
  /** The task did not start and will not by this ask. */
  Declined = "declined",
}

/** Why an ask was declined. */
export enum DeclineReason {
  NoRoom = "no-room",
  Withdrawn = "withdrawn",
  /** The zone takes no new work. */
  ZoneClosed = "zone-closed",
  /** The worker refused the start. */
  Refused = "refused",
  Overloaded = "overloaded",
}

/** What has become of one ask. */
export interface AskAnswer {
  readonly seq: number;
  readonly taskId: string;
  readonly result: RoomResult;
  readonly reason?: DeclineReason;
  readonly instanceId?: string;
}

/** A slice's answers to asks, withdrawals and commits. */
export interface RoomAnswer extends HomeSliceAddress {
  readonly kind: PeerMessageKind.RoomAnswer;
  readonly answers: readonly AskAnswer[];
}

/** Stops tasks that hold room or run; their ends are told as events. */
export interface StopTasks extends HomeSliceAddress {
  readonly kind: PeerMessageKind.StopTasks;
  readonly taskIds: readonly string[];
  readonly mode: StopMode;
}

/** A task has begun to run or has ended. */
export interface TaskEvent {
  readonly task: TaskSpec;
  readonly phase: TaskPhase.Running | TaskPhase.Ended;
  readonly instanceId: string;
  readonly end?: TaskEnd;
}

/** Told to the home; ends are told again until they are acknowledged. */
export interface TaskEvents extends HomeSliceAddress {
  readonly kind: PeerMessageKind.TaskEvents;
  readonly events: readonly TaskEvent[];
}

/** The home has the ends on record; the worker may forget the tasks. */
export interface TaskEventsAck extends HomeSliceAddress {
  readonly kind: PeerMessageKind.TaskEventsAck;
  readonly taskIds: readonly string[];
}

/**
 * Asks a scheduler what it knows that is newer than what the sender goes by.
 * Sent by nodes that can't read the table, or that have to be sure that their
 * claims are known.
 */
export interface VouchRequest {
  readonly kind: PeerMessageKind.VouchRequest;
  /** The sender's clock; the answer carries it back. */
  readonly tickMs: number;
  readonly owned: readonly OwnedUnit[];
}

/** What the sender knew at some time after the request was sent. */
export interface Vouch {
  readonly kind: PeerMessageKind.Vouch;
  readonly tickMs: number;
  /**
   * False when the sender may have forgotten an announcement, as after its
   * start.
   */
  readonly isSure: boolean;
  /** Highest version of the configuration that is or may come in force. */
  readonly newestVersion: number;
  /** Instances that the platform's list last showed as leaving. */
  readonly leaving: readonly string[];
  /** Units of the asking node that others own under a higher epoch. */
  readonly superseded: readonly OwnedUnit[];
}

/** Told to a majority of the schedulers before an edit is written. */
export interface AnnounceEdit {
  readonly kind: PeerMessageKind.AnnounceEdit;
  /** Names this announcement; the answer carries it back. */
  readonly announcementId: string;
  /** The version that the edit would make. */
  readonly version: number;
}

/** The sender will not vouch for older versions until it knows the outcome. */
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
