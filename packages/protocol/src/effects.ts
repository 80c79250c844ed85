import type { Effect } from "@mustardweir/kernel";
import type { CallerAnswer } from "./caller_messages.ts";
import type { AnswerFrontEffect } from "./front_calls.ts";
import type { PeerMessage } from "./peer_messages.ts";
import type {
  CommitResult,
  GetObjectResult,
  ListInstancesResult,
  PutObjectResult,
  ScanResult,
  Transaction,
} from "./platform_messages.ts";
import type {
  CommitRecordsEffect,
  FollowSourceEffect,
  ReadSourceEffect,
} from "./record_store.ts";
import type { ReplyTo } from "./reply.ts";
import type { SyncCall, SyncResult } from "./target_messages.ts";
import type { AskPermitsEffect, OrderWorkerEffect } from "./worker_orders.ts";

/** Kinds of effect, each carried out by a performer of the process. */
export enum EffectKind {
  SendPeer = "send-peer",
  ConnectPeers = "connect-peers",
  ScanTable = "scan-table",
  CommitTable = "commit-table",
  GetObject = "get-object",
  PutObject = "put-object",
  ListInstances = "list-instances",
  SyncTarget = "sync-target",
  AnswerCaller = "answer-caller",
  Count = "count",
  Observe = "observe",
  Gauge = "gauge",
  LogChange = "log-change",
  CommitRecords = "commit-records",
  ReadSource = "read-source",
  FollowSource = "follow-source",
  OrderWorker = "order-worker",
  AskPermits = "ask-permits",
  AnswerFront = "answer-front",
  /** The planned stop is complete; the process may exit. */
  Stopped = "stopped",
}

/** Recipient `to` of a message for every linked node, entries included. */
export const ALL_PEERS = "*";

/** Sends a message to a peer; it may be lost, delayed or duplicated. */
export interface SendPeerEffect extends Effect {
  readonly kind: EffectKind.SendPeer;
  readonly to: string;
  readonly message: PeerMessage;
}

/** The address at which peers connect to a scheduler. */
export interface PeerAddress {
  readonly nodeId: string;
  /** host:port */
  readonly address: string;
}

/** Opens links to the listed schedulers and closes links to all others. */
export interface ConnectPeersEffect extends Effect {
  readonly kind: EffectKind.ConnectPeers;
  readonly peers: readonly PeerAddress[];
  /**
   * Whether this node dials all of them, since they don't list it; by default
   * the one with the lower id dials.
   */
  readonly alwaysDials?: boolean;
}

/** Reads the rows under a prefix that changed after a revision. */
export interface ScanTableEffect extends Effect {
  readonly kind: EffectKind.ScanTable;
  readonly prefix: string;
  /** 0 for a full scan. */
  readonly afterRevision: number;
  readonly replyTo: ReplyTo<ScanResult>;
}

/** Applies a transaction to the platform's table. */
export interface CommitTableEffect extends Effect {
  readonly kind: EffectKind.CommitTable;
  readonly transaction: Transaction;
  readonly replyTo: ReplyTo<CommitResult>;
}

/** Reads an object of the platform's object store. */
export interface GetObjectEffect extends Effect {
  readonly kind: EffectKind.GetObject;
  readonly key: string;
  readonly replyTo: ReplyTo<GetObjectResult>;
}

/** Writes an object; objects are immutable, each key names fixed content. */
export interface PutObjectEffect extends Effect {
  readonly kind: EffectKind.PutObject;
  readonly key: string;
  readonly body: string;
  readonly replyTo: ReplyTo<PutObjectResult>;
}

/** Reads the platform's list of the system's processes; it may be stale. */
export interface ListInstancesEffect extends Effect {
  readonly kind: EffectKind.ListInstances;
  readonly replyTo: ReplyTo<ListInstancesResult>;
}

/** Makes a sync call to a worker. */
export interface SyncTargetEffect extends Effect {
  readonly kind: EffectKind.SyncTarget;
  readonly instanceId: string;
  readonly address: string;
  readonly call: SyncCall;
  /** After this, in milliseconds, the result is `SyncResultKind.NoAnswer`. */
  readonly timeoutMs: number;
  readonly replyTo: ReplyTo<SyncResult>;
}

/** Answers the caller whose request has the id `requestId`. */
export interface AnswerCallerEffect extends Effect {
  readonly kind: EffectKind.AnswerCaller;
  readonly requestId: string;
  readonly answer: CallerAnswer;
}

/** Adds to a counter. */
export interface CountEffect extends Effect {
  readonly kind: EffectKind.Count;
  readonly counter: string;
  readonly by: number;
}

/** Adds a value to a histogram. */
export interface ObserveEffect extends Effect {
  readonly kind: EffectKind.Observe;
  readonly histogram: string;
  readonly value: number;
}

/** Sets a gauge to its current value. */
export interface GaugeEffect extends Effect {
  readonly kind: EffectKind.Gauge;
  readonly gauge: string;
  readonly value: number;
}

/** Logs a change of state. */
export interface LogChangeEffect extends Effect {
  readonly kind: EffectKind.LogChange;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Signals that the process may exit. */
export interface StoppedEffect extends Effect {
  readonly kind: EffectKind.Stopped;
}

/** Every effect that the performers of a node carry out. */
export type NodeEffect =
  | SendPeerEffect
  | ConnectPeersEffect
  | ScanTableEffect
  | CommitTableEffect
  | GetObjectEffect
  | PutObjectEffect
  | ListInstancesEffect
  | SyncTargetEffect
  | AnswerCallerEffect
  | CountEffect
  | ObserveEffect
  | GaugeEffect
  | LogChangeEffect
  | StoppedEffect
  | CommitRecordsEffect
  | ReadSourceEffect
  | FollowSourceEffect
  | OrderWorkerEffect
  | AskPermitsEffect
  | AnswerFrontEffect;

/**
 * Makes an effect that sends `message` to the node `to`.
 *
 * @example
 * ```ts
 * update.emit(sendPeer("s2", heartbeat));
 * ```
 */
export function sendPeer(to: string, message: PeerMessage): SendPeerEffect {
  return { kind: EffectKind.SendPeer, to, message };
}

/**
 * Makes an effect that adds `by`, 1 by default, to a counter.
 *
 * @example
 * ```ts
 * update.emit(count("asks_declined"));
 * ```
 */
export function count(counter: string, by = 1): CountEffect {
  return { kind: EffectKind.Count, counter, by };
}

/** Interval at which plug-ins set their gauges, in milliseconds. */
export const GAUGE_INTERVAL_MS = 1_000;

/**
 * Makes an effect that sets a gauge.
 *
 * @example
 * ```ts
 * update.emit(gauge("jobs-open", state.jobs.size));
 * ```
 */
export function gauge(name: string, value: number): GaugeEffect {
  return { kind: EffectKind.Gauge, gauge: name, value };
}

/**
 * Makes an effect that adds `value` to a histogram.
 *
 * @example
 * ```ts
 * update.emit(observe("start_wait_ms", update.now - job.createdAt));
 * ```
 */
export function observe(histogram: string, value: number): ObserveEffect {
  return { kind: EffectKind.Observe, histogram, value };
}

/**
 * Makes an effect that logs a change of state.
 *
 * @example
 * ```ts
 * update.emit(logChange("Slice taken over", { slice: sliceId, epoch }));
 * ```
 */
export function logChange(
  message: string,
  fields: LogChangeEffect["fields"] = {},
): LogChangeEffect {
  return { kind: EffectKind.LogChange, message, fields };
}

/**
 * Returns `effect`; the compiler checks that it is a {@link NodeEffect}.
 *
 * @example
 * ```ts
 * update.emit(nodeEffect({ kind: EffectKind.Stopped }));
 * ```
 */
export function nodeEffect(effect: NodeEffect): NodeEffect {
  return effect;
}
