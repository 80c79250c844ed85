/** Why a client was rejected, as part of the name of a metric. */
export enum RejectionKind {
  /** The bytes of all clients exceed the budget. */
  Bytes = "bytes",
  /** All connections are in use. */
  Connections = "connections",
  /** All calls are open, and this client does not read its responses. */
  Calls = "calls",
  /** A body made too little progress. */
  Stalled = "stalled",
  /** Responses were not read for too long. */
  Unread = "unread",
  /** A request without the `Host` header. */
  NoHost = "no-host",
}

/** What is done with the next bytes of a connection. */
export enum ReadDecision {
  /** They are parsed. */
  Read = "read",
  /** Few are parsed, so that the call that is being received can end. */
  ReadLittle = "read-little",
  /** They are left in the socket until a call of the connection ends. */
  WaitForConnection = "wait-for-connection",
  /** They are left in the socket until any call ends. */
  WaitForAny = "wait-for-any",
  /** They are left in the socket until a later turn of the loop. */
  WaitForTurn = "wait-for-turn",
  /** They are left in the socket until the next interval of the call rate. */
  WaitForRate = "wait-for-rate",
}

/** What one connection holds; times are monotonic, in milliseconds. */
export interface ConnectionLoad {
  readonly openedMs: number;
  /** Calls whose responses were sent. */
  readonly servedCalls: number;
  /**
   * Recent cost of its input in milliseconds of processor time, halved each
   * second.
   */
  readonly costMs: number;
  /** Bytes of the body and of input that is not parsed yet. */
  readonly heldBytes: number;
  /** When the connection began to hold bytes. */
  readonly heldSinceMs: number;
  /** Calls without a completely sent response. */
  readonly openCalls: number;
  /** Those of the open calls that have not been answered. */
  readonly waitingCalls: number;
  /** Whether the body of the last call is still being received. */
  readonly isReceiving: boolean;
  /** Bytes of responses that have not been sent. */
  readonly unsentBytes: number;
  /** When response bytes were last sent, or the first open call arrived. */
  readonly sentMs: number;
  /** Whether it was rejected before and is about to close. */
  readonly isEnding: boolean;
}

/** Limits of all clients of a listener. */
export interface ClientLimits {
  /** Bytes of bodies and unparsed input over all connections. */
  readonly maxBytes: number;
  /** Open calls over all connections. */
  readonly maxCalls: number;
  /**
   * Bytes that are parsed at once. All calls in them are dispatched before the
   * next decision; the shortest call has 18 bytes.
   */
  readonly sliceBytes: number;
  /** Open calls of a connection. */
  readonly maxCallsPerConnection: number;
  /** Unsent response bytes of a connection. */
  readonly maxUnsentBytes: number;
  /** Calls in each {@link RATE_INTERVAL_MS}, beside first ones; any if absent. */
  readonly maxCallsPerInterval?: number;
  readonly maxConnections: number;
  /** Time in which a body must grow by {@link MIN_PROGRESS_BYTES}, in ms. */
  readonly bodyStallMs: number;
  /** Time for which responses may stay unread, in milliseconds. */
  readonly unreadMs: number;
}

/**
 * Least growth of a body in {@link ClientLimits.bodyStallMs}, in bytes: 17
 * bytes a second by default, far below the slowest links.
 */
export const MIN_PROGRESS_BYTES = 512;

/** Interval of {@link ClientLimits.maxCallsPerInterval}, in milliseconds. */
export const RATE_INTERVAL_MS = 50;

/**
 * Time after which a client with unread responses may lose its connection if
 * no further call can be opened, in milliseconds; several times the interval
 * at which progress is noted.
 */
const UNREAD_UNDER_PRESSURE_MS = 3_000;

/**
 * Recent cost from which a connection is costly, in milliseconds: that of ten
 * ordinary calls.
 */
const COSTLY_MS = 0.5;

/**
 * Time for the input of all costly connections in a turn of the loop, in
 * milliseconds; what others send and what the node does itself comes between.
 */
const COSTLY_MS_PER_TURN = 5;

/** Share of the open calls that costly connections may use. */
const COSTLY_CALLS_SHARE = 1 / 8;

/** Factor by which clients that were never served are rejected first. */
const NEVER_SERVED_FACTOR = 1_000;

/** Calls of all connections of a listener. */
export interface CallTotals {
  readonly openCalls: number;
  /** Calls that arrived in the current interval of the call rate. */
  readonly recentCalls: number;
  /** Time that costly connections took in this turn, in milliseconds. */
  readonly costlyMs: number;
}

/**
 * Decides whether more input of a connection is parsed. A call that is being
 * received never waits for itself.
 *
 * @example
 * ```ts
 * decideRead(idleLoad, { openCalls: 10, recentCalls: 0 }, limits); // Read
 * ```
 */
export function decideRead(
  load: ReadLoad,
  totals: CallTotals,
  limits: ClientLimits,
): ReadDecision {
  const { maxCallsPerInterval = Infinity } = limits;
  const isConnectionFull = load.openCalls >= limits.maxCallsPerConnection ||
    load.unsentBytes >= limits.maxUnsentBytes;
  const costly = isCostly(load);
  if (costly && totals.costlyMs >= COSTLY_MS_PER_TURN) {
    return ReadDecision.WaitForTurn;
  }
  const maxCalls = costly
    ? limits.maxCalls * COSTLY_CALLS_SHARE
    : limits.maxCalls;
  const isFull = totals.openCalls >= maxCalls;
  if (load.isReceiving) {
    if (!isConnectionFull && !isFull) {
      return ReadDecision.Read;
    }
    return load.openCalls <= 1
      ? ReadDecision.ReadLittle
      : ReadDecision.WaitForConnection;
  }
  if (isConnectionFull) {
    return ReadDecision.WaitForConnection;
  }
  if (isFull) {
    return ReadDecision.WaitForAny;
  }
  // A probe on a new connection is answered whatever the others send.
  const isFirst = load.openCalls === 0 && load.servedCalls === 0;
  return totals.recentCalls >= maxCallsPerInterval && !isFirst
    ? ReadDecision.WaitForRate
    : ReadDecision.Read;
}

/** Returns whether a connection's recent input was costly. */
export function isCostly({ costMs }: Pick<ConnectionLoad, "costMs">): boolean {
  return costMs >= COSTLY_MS;
}

/** What {@link decideRead} needs of a connection's load. */
export type ReadLoad = Pick<
  ConnectionLoad,
  "costMs" | "openCalls" | "servedCalls" | "isReceiving" | "unsentBytes"
>;

/** Progress of a body since the last check. */
export interface BodyProgress {
  readonly grownBytes: number;
  readonly forMs: number;
}

/** Returns whether a body grows too slowly. */
export function isStalled(
  { grownBytes, forMs }: BodyProgress,
  { bodyStallMs }: ClientLimits,
): boolean {
  return grownBytes < MIN_PROGRESS_BYTES && forMs >= bodyStallMs;
}

/** Returns whether a client has left its responses unread for too long. */
export function isUnread(
  load: ConnectionLoad,
  now: number,
  { unreadMs }: ClientLimits,
): boolean {
  return leavesUnread(load) && now - load.sentMs >= unreadMs;
}

/** Chooses the connection that is rejected when a limit is exceeded. */
export abstract class VictimPolicy {
  abstract readonly kind: RejectionKind;
  /** Returns how much a connection is to be preferred; 0 if it may stay. */
  abstract score(load: ConnectionLoad, now: number): number;

  /** Returns the connection with the highest score, if any may go. */
  choose<Connection extends ConnectionLoad>(
    connections: Iterable<Connection>,
    now: number,
  ): Connection | undefined {
    let chosen: Connection | undefined;
    let highest = 0;
    for (const connection of connections) {
      const score = connection.isEnding ? 0 : this.score(connection, now);
      if (score > highest) {
        highest = score;
        chosen = connection;
      }
    }
    return chosen;
  }
}

/** Rejects the connection that has held the most bytes for the longest. */
export class MostHeldLongest extends VictimPolicy {
  override readonly kind = RejectionKind.Bytes;

  override score({ heldBytes, heldSinceMs }: ConnectionLoad, now: number) {
    return heldBytes * (now - heldSinceMs + 1);
  }
}

/**
 * Rejects the oldest connection without a call that was passed on, preferably
 * one that was never served.
 */
export class OldestWithoutCall extends VictimPolicy {
  override readonly kind = RejectionKind.Connections;

  override score(load: ConnectionLoad, now: number) {
    // An earlier call may be answered but not sent yet, so only the call that is
    // being received may be open.
    const isFree = load.openCalls === 0 ||
      (load.isReceiving && load.openCalls === 1) ||
      isUnreadUnderPressure(load, now);
    const ageMs = now - load.openedMs + 1;
    return isFree
      ? ageMs * (load.servedCalls === 0 ? NEVER_SERVED_FACTOR : 1)
      : 0;
  }
}

/** Rejects the connection that has left answered calls unread the longest. */
export class LongestUnread extends VictimPolicy {
  override readonly kind = RejectionKind.Calls;

  override score(load: ConnectionLoad, now: number) {
    return isUnreadUnderPressure(load, now) ? now - load.sentMs : 0;
  }
}

function leavesUnread({ openCalls, waitingCalls }: ConnectionLoad): boolean {
  return openCalls > 0 && waitingCalls === 0;
}

function isUnreadUnderPressure(load: ConnectionLoad, now: number): boolean {
  return leavesUnread(load) && now - load.sentMs >= UNREAD_UNDER_PRESSURE_MS;
}
