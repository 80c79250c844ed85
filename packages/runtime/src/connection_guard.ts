import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { BodyBuffer } from "./body_buffer.ts";
import {
  type ClientLimits,
  type ConnectionLoad,
  decideRead,
  isCostly,
  isStalled,
  isUnread,
  LongestUnread,
  MostHeldLongest,
  OldestWithoutCall,
  RATE_INTERVAL_MS,
  ReadDecision,
  RejectionKind,
  type VictimPolicy,
} from "./connection_policy.ts";
import type { Logger } from "./logger.ts";
import type { Metrics } from "./metrics.ts";

/**
 * Bytes that are parsed at once if only the call that is being received is to
 * end; they begin at most seven further calls.
 */
const LITTLE_BYTES = 128;
/**
 * Cost of a call beyond its parsing, in milliseconds; a lower bound of what the
 * node does for it.
 */
const CALL_COST_MS = 0.05;
/** Bytes that the runtime reads at once; a paused socket keeps one read. */
const READ_BYTES = 65_536;
/** Interval of checks for clients without progress, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
/** Shortest time between two searches for unread responses, in ms. */
const SEARCH_INTERVAL_MS = 50;
/** Shortest time between two log lines on one kind of rejection, in ms. */
const LOG_INTERVAL_MS = 10_000;
/** Time in which a rejected client may read its response, in milliseconds. */
const ENDING_MS = 5_000;
/** Connections over the limit that are accepted to replace an older one. */
const SPARE_CONNECTIONS = 8;

const SERVICE_UNAVAILABLE = 503;
const REQUEST_TIMEOUT = 408;
const EXPECTATION_FAILED = 417;
const REJECTION = "HTTP/1.1 503 Service Unavailable\r\n" +
  "connection: close\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n";

/** Options of a {@link ConnectionGuard}. */
export interface GuardOptions {
  /** Name of the listener in metrics and log lines. */
  readonly listener: string;
  readonly limits: ClientLimits;
  /**
   * Whether a full listener replaces its oldest connection without a call; true
   * by default. Otherwise it accepts none, as the server is set up.
   */
  readonly replacesConnections?: boolean;
  /** Counts `clients-rejected-LISTENER-KIND`. */
  readonly metrics?: Metrics;
  readonly logger?: Logger;
}

/**
 * Bounds what the clients of an HTTP server cost, by not reading from their
 * connections and by closing those that hold the most. Its decisions are those
 * of `connection_policy.ts`.
 *
 * @example
 * ```ts
 * const guard = new ConnectionGuard({ listener: "front", limits });
 * guard.protect(server);
 * ```
 */
export class ConnectionGuard {
  readonly #options: GuardOptions;
  readonly #connections = new Map<Socket, GuardedConnection>();
  /** Connections that wait until any call ends, in order. */
  readonly #waiting = new Set<GuardedConnection>();
  /** Costly ones among them, which may use fewer calls. */
  readonly #waitingCostly = new Set<GuardedConnection>();
  /** Connections that wait for the next interval of the call rate, in order. */
  readonly #waitingForRate = new Set<GuardedConnection>();
  readonly #loggedMs = new Map<RejectionKind, number>();
  readonly #mostHeld = new MostHeldLongest();
  readonly #oldest = new OldestWithoutCall();
  readonly #longestUnread = new LongestUnread();
  #heldBytes = 0;
  #openCalls = 0;
  /** Costly connections that wait for a later turn, in order. */
  readonly #waitingForTurn = new Set<GuardedConnection>();
  #costlyMs = 0;
  #nextTurn: NodeJS.Immediate | undefined;
  #recentCalls = 0;
  #rateTimer: NodeJS.Timeout | undefined;
  #searchedMs = 0;
  #checkedMs = performance.now();

  constructor(options: GuardOptions) {
    this.#options = options;
  }

  /** Bytes that all connections hold. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Open calls of all connections. */
  get openCalls(): number {
    return this.#openCalls;
  }

  get limits(): ClientLimits {
    return this.#options.limits;
  }

  get #replacesConnections(): boolean {
    return this.#options.replacesConnections ?? true;
  }

  /** Guards the connections of a server, which must not listen yet. */
  protect(server: Server): void {
    if (this.#replacesConnections) {
      server.maxConnections = this.limits.maxConnections + SPARE_CONNECTIONS;
    }
    const isSecure = "setSecureContext" in server;
    server.on(
      isSecure ? "secureConnection" : "connection",
      (socket: Socket) => this.#accept(socket),
    );
    server.prependListener("request", (req, res) => this.#open(req, res));
    server.on("checkExpectation", (req, res) => {
      this.#open(req, res);
      res.writeHead(EXPECTATION_FAILED);
      res.end();
    });
    const checks = setInterval(() => this.#check(), CHECK_INTERVAL_MS).unref();
    server.once("close", () => clearInterval(checks));
  }

  /**
   * Reads a body of at most `maxBytes`. Calls `onEnd` with the whole body, or
   * `onTooLarge` once; neither is called if the client is rejected.
   */
  readBody(
    req: IncomingMessage,
    res: ServerResponse,
    { maxBytes, onEnd, onTooLarge }: BodyOptions,
  ): void {
    const connection = this.#connections.get(req.socket);
    const body = new BodyBuffer(
      maxBytes,
      (bytes) => connection && this.#hold(connection, bytes),
    );
    connection?.startBody(body, req, res);
    const finish = () => {
      connection?.endBody(body);
      body.release();
    };
    let isTooLarge = false;
    const length = Number(req.headers["content-length"]);
    req.on("data", (chunk: Buffer) => {
      if (chunk.length === length && length <= maxBytes) {
        body.setWhole(chunk);
        return;
      }
      if (body.add(chunk) || body.isReleased) {
        return;
      }
      isTooLarge = true;
      finish();
      onTooLarge();
    });
    req.on("end", () => {
      if (!isTooLarge && !body.isReleased) {
        onEnd(body);
      }
      finish();
    });
  }

  /** Whether nothing is to be done for further requests of a connection. */
  isEnding({ socket }: IncomingMessage): boolean {
    return this.#connections.get(socket)?.isEnding ?? false;
  }

  /** Parses nothing more of the request's connection, which is to be closed. */
  stopReading({ socket }: IncomingMessage): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) {
      connection.isEnding = true;
      connection.release();
    }
  }

  /**
   * Answers a request of HTTP/1.1 that lacks the `Host` header with 400 and
   * returns true; the runtime would do so without telling the guard.
   */
  rejectWithoutHost(req: IncomingMessage, res: ServerResponse): boolean {
    if (req.headers.host !== undefined || req.httpVersion !== "1.1") {
      return false;
    }
    if (this.isEnding(req)) {
      return true;
    }
    res.writeHead(400, { connection: "close", "content-length": 0 });
    res.end();
    this.stopReading(req);
    this.#report(RejectionKind.NoHost);
    return true;
  }

  #accept(socket: Socket): void {
    const connection = new GuardedConnection(socket, this);
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      this.#connections.delete(socket);
      this.#forget(connection);
      // Responses that wait behind another one emit no event of their own.
      this.#openCalls -= connection.openCalls;
      connection.openCalls = 0;
      connection.isEnding = true;
      connection.release(true);
      this.#resumeWaiting();
    });
    connection.start();
    if (
      this.#replacesConnections &&
      this.#connections.size > this.limits.maxConnections
    ) {
      this.#rejectVictim(this.#oldest, socket);
    }
  }

  #open(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.#connections.get(req.socket);
    if (connection === undefined || connection.isEnding) {
      return;
    }
    this.#openCalls++;
    this.#countCall();
    connection.openCall(res);
    res.once("close", () => {
      if (!this.#connections.has(req.socket)) {
        return;
      }
      this.#openCalls--;
      connection.closeCall(res);
      if (connection.isEnding && connection.openCalls === 0) {
        connection.end();
      }
      this.#resumeWaiting();
    });
  }

  /** Counts a call for the rate and reads on in the next interval. */
  #countCall(): void {
    if (this.limits.maxCallsPerInterval === undefined) {
      return;
    }
    this.#recentCalls++;
    this.#rateTimer ??= setTimeout(() => {
      this.#rateTimer = undefined;
      this.#recentCalls = 0;
      const waiting = [...this.#waitingForRate];
      this.#waitingForRate.clear();
      waiting.forEach((connection) => connection.resume());
    }, RATE_INTERVAL_MS).unref();
  }

  /** @internal Returns how many bytes may be parsed now; 0 to wait. */
  admitRead(connection: GuardedConnection): number {
    const totals = {
      openCalls: this.#openCalls,
      recentCalls: this.#recentCalls,
      costlyMs: this.#costlyMs,
    };
    const decision = decideRead(connection, totals, this.limits);
    switch (decision) {
      case ReadDecision.Read:
        return this.limits.sliceBytes;
      case ReadDecision.ReadLittle:
        return LITTLE_BYTES;
      case ReadDecision.WaitForAny:
        (isCostly(connection) ? this.#waitingCostly : this.#waiting)
          .add(connection);
        this.#rejectUnread();
        return 0;
      case ReadDecision.WaitForTurn:
        this.#waitingForTurn.add(connection);
        return 0;
      case ReadDecision.WaitForRate:
        this.#waitingForRate.add(connection);
        return 0;
      default:
        return 0;
    }
  }

  /** @internal Notes the processor time of a connection's input. */
  addCost(connection: GuardedConnection, ms: number): void {
    connection.costMs += ms;
    if (isCostly(connection)) {
      this.#costlyMs += ms;
      this.#nextTurn ??= setImmediate(() => this.#beginTurn());
    }
  }

  #beginTurn(): void {
    this.#nextTurn = undefined;
    this.#costlyMs = 0;
    for (const connection of [...this.#waitingForTurn]) {
      // What is resumed may schedule the next turn.
      this.#waitingForTurn.delete(connection);
      connection.resume();
      if (this.#waitingForTurn.has(connection)) {
        break;
      }
    }
    if (this.#waitingForTurn.size > 0) {
      this.#nextTurn ??= setImmediate(() => this.#beginTurn());
    }
  }

  /** @internal Changes the bytes that a connection holds. */
  hold(connection: GuardedConnection, bytes: number): void {
    this.#hold(connection, bytes);
  }

  #hold(connection: GuardedConnection, bytes: number): void {
    connection.changeHeld(bytes);
    this.#heldBytes += bytes;
    while (bytes > 0 && this.#heldBytes > this.limits.maxBytes) {
      if (!this.#rejectVictim(this.#mostHeld)) {
        return;
      }
    }
  }

  /** Makes room for calls, at a bounded rate of searches. */
  #rejectUnread(): void {
    const now = performance.now();
    if (now - this.#searchedMs >= SEARCH_INTERVAL_MS) {
      this.#searchedMs = now;
      this.#rejectVictim(this.#longestUnread);
    }
  }

  /** Reads on after a call has ended; costly connections come last. */
  #resumeWaiting(): void {
    for (const set of [this.#waiting, this.#waitingCostly]) {
      for (const connection of set) {
        set.delete(connection);
        connection.resume();
        // It waits again, and so would those behind it.
        if (this.#isWaiting(connection)) {
          break;
        }
      }
    }
  }

  #forget(connection: GuardedConnection): void {
    this.#waiting.delete(connection);
    this.#waitingCostly.delete(connection);
    this.#waitingForRate.delete(connection);
    this.#waitingForTurn.delete(connection);
  }

  #isWaiting(connection: GuardedConnection): boolean {
    return this.#waiting.has(connection) ||
      this.#waitingCostly.has(connection);
  }

  #rejectVictim(policy: VictimPolicy, newest?: Socket): boolean {
    const now = performance.now();
    const victim = policy.choose(this.#connections.values(), now);
    if (victim !== undefined) {
      this.#reject(victim, policy.kind);
    } else if (newest !== undefined) {
      this.#report(policy.kind);
      newest.destroy();
    }
    return victim !== undefined;
  }

  #reject(connection: GuardedConnection, kind: RejectionKind): void {
    this.#report(kind);
    connection.isEnding = true;
    this.#forget(connection);
    const closesNow = kind === RejectionKind.Connections ||
      kind === RejectionKind.Calls || kind === RejectionKind.Unread;
    if (closesNow) {
      connection.socket.destroy();
    } else {
      connection.reject(
        kind === RejectionKind.Stalled ? REQUEST_TIMEOUT : SERVICE_UNAVAILABLE,
      );
    }
    connection.release();
  }

  #report(kind: RejectionKind): void {
    const { listener, metrics, logger } = this.#options;
    const counter = `clients-rejected-${listener}-${kind}`;
    metrics?.count(counter);
    const now = performance.now();
    const loggedMs = this.#loggedMs.get(kind) ?? -Infinity;
    if (now - loggedMs >= LOG_INTERVAL_MS) {
      this.#loggedMs.set(kind, now);
      logger?.warn("Client rejected", {
        listener,
        kind,
        sinceStart: metrics?.counter(counter) ?? 1,
        heldBytes: this.#heldBytes,
        openCalls: this.#openCalls,
        connections: this.#connections.size,
      });
    }
  }

  #check(): void {
    const now = performance.now();
    // A paused process must not blame its clients for the pause.
    const pausedMs = Math.max(0, now - this.#checkedMs - 2 * CHECK_INTERVAL_MS);
    this.#checkedMs = now;
    for (const connection of this.#connections.values()) {
      const kind = connection.check(now, pausedMs);
      if (kind !== undefined) {
        this.#reject(connection, kind);
      }
    }
  }
}

/** How {@link ConnectionGuard.readBody} reads a body. */
export interface BodyOptions {
  /** Largest size in bytes. */
  readonly maxBytes: number;
  /** The body's memory is freed after the call. */
  readonly onEnd: (body: BodyBuffer) => void;
  readonly onTooLarge: () => void;
}

interface OpenBody {
  readonly req: IncomingMessage;
  readonly buffer: BodyBuffer;
  readonly res: ServerResponse;
  checkedBytes: number;
  checkedMs: number;
}

/** A connection, what it holds, and the input that waits to be parsed. */
class GuardedConnection implements ConnectionLoad {
  readonly socket: Socket;
  readonly openedMs = performance.now();
  heldBytes = 0;
  heldSinceMs = 0;
  openCalls = 0;
  servedCalls = 0;
  costMs = 0;
  sentMs = 0;
  isEnding = false;
  readonly #guard: ConnectionGuard;
  readonly #responses = new Set<ServerResponse>();
  #body: OpenBody | undefined;
  #parse: ((chunk: Buffer) => void) | undefined;
  /** Input that was read and is not parsed yet. */
  #input: Buffer | undefined;
  /** Memory that the input keeps, in bytes. */
  #inputBytes = 0;
  /** Whether the guard has stopped reading. */
  #isHeld = false;
  /** Whether the server has stopped reading, for example for a slow reader. */
  #isPausedByServer = false;
  #sentBytes = 0;
  #endingMs: number | undefined;
  #isRejected = false;

  constructor(socket: Socket, guard: ConnectionGuard) {
    this.socket = socket;
    this.#guard = guard;
  }

  get waitingCalls(): number {
    let waiting = 0;
    for (const res of this.#responses) {
      waiting += res.writableEnded ? 0 : 1;
    }
    return waiting;
  }

  get isReceiving(): boolean {
    // Its last bytes may be parsed though the body's end comes a turn later.
    return this.#body !== undefined && !this.#body.req.complete;
  }

  get unsentBytes(): number {
    if (this.openCalls === 0) {
      return 0;
    }
    let bytes = 0;
    for (const res of this.#responses) {
      bytes += res.writableLength;
    }
    return bytes;
  }

  /** Puts the guard between the socket and the server's parser. */
  start(): void {
    const [parse] = this.socket.listeners("data") as ((
      chunk: Buffer,
    ) => void)[];
    if (parse === undefined) {
      return;
    }
    this.#parse = parse;
    this.socket.removeListener("data", parse);
    this.socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    this.socket.on("resume", () => this.#handleResume());
  }

  openCall(res: ServerResponse): void {
    if (this.openCalls === 0) {
      this.sentMs = performance.now();
    }
    this.openCalls++;
    this.costMs += CALL_COST_MS;
    this.#responses.add(res);
  }

  closeCall(res: ServerResponse): void {
    this.openCalls--;
    this.servedCalls++;
    this.#responses.delete(res);
    if (this.#isHeld && !this.isEnding) {
      this.resume();
    }
  }

  startBody(
    buffer: BodyBuffer,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    this.#body = {
      req,
      buffer,
      res,
      checkedBytes: 0,
      checkedMs: performance.now(),
    };
  }

  endBody(buffer: BodyBuffer): void {
    if (this.#body?.buffer === buffer) {
      this.#body = undefined;
    }
  }

  changeHeld(bytes: number): void {
    if (this.heldBytes === 0) {
      this.heldSinceMs = performance.now();
    }
    this.heldBytes += bytes;
  }

  /** Frees what is held; all of it once the connection is closed. */
  release(isClosed = false): void {
    this.#setInput(undefined);
    // A body that is complete is passed on in this turn.
    if (isClosed || this.isReceiving) {
      this.#body?.buffer.release();
      this.#body = undefined;
    }
  }

  /** Parses the input that waits, and reads on if the guard admits it. */
  resume(): void {
    if (!this.#isHeld || this.socket.destroyed || this.isEnding) {
      return;
    }
    if (this.#guard.admitRead(this) > 0) {
      this.#isHeld = false;
      this.socket.resume();
      this.#run();
    }
  }

  /**
   * Rejects the unfinished call, or all further calls; those that were passed
   * on are answered first.
   */
  reject(status: number): void {
    this.#isRejected = true;
    this.#endingMs = performance.now();
    const res = this.isReceiving ? this.#body?.res : undefined;
    if (res !== undefined && !res.headersSent) {
      res.writeHead(status, {
        connection: "close",
        "content-length": 0,
        ...(status === SERVICE_UNAVAILABLE ? { "retry-after": "1" } : {}),
      });
      res.end();
    } else if (this.openCalls === 0) {
      this.end();
    }
  }

  /** Closes the connection once all that was passed on is answered. */
  end(): void {
    if (this.#isRejected && this.socket.writable) {
      this.socket.end(REJECTION);
    }
  }

  /** Returns why the client is to be rejected, if it makes no progress. */
  check(now: number, pausedMs: number): RejectionKind | undefined {
    this.sentMs += pausedMs;
    this.costMs /= 2;
    if (this.isEnding) {
      this.#checkEnding(now);
      return undefined;
    }
    if (this.openCalls > 0) {
      const sentBytes = this.socket.bytesWritten - this.socket.writableLength;
      if (sentBytes !== this.#sentBytes) {
        this.#sentBytes = sentBytes;
        this.sentMs = now;
      }
      if (isUnread(this, now, this.#guard.limits)) {
        return RejectionKind.Unread;
      }
    }
    return this.#checkBody(now, pausedMs);
  }

  #checkEnding(now: number): void {
    this.#endingMs ??= now;
    if (now - this.#endingMs >= ENDING_MS && this.waitingCalls === 0) {
      this.socket.destroy();
    }
  }

  #checkBody(now: number, pausedMs: number): RejectionKind | undefined {
    const body = this.#body;
    if (body === undefined) {
      return undefined;
    }
    body.checkedMs += pausedMs;
    const { bytes } = body.buffer;
    const progress = {
      grownBytes: bytes - body.checkedBytes,
      forMs: now - body.checkedMs,
    };
    if (!this.#isHeld && isStalled(progress, this.#guard.limits)) {
      return RejectionKind.Stalled;
    }
    if (this.#isHeld || progress.forMs >= this.#guard.limits.bodyStallMs) {
      body.checkedBytes = bytes;
      body.checkedMs = now;
    }
    return undefined;
  }

  #receive(chunk: Buffer): void {
    if (this.isEnding) {
      return;
    }
    if (
      this.#input === undefined && !this.#isHeld && !this.#isPausedByServer &&
      chunk.length <= this.#guard.admitRead(this)
    ) {
      this.#parseSlice(chunk);
      return;
    }
    const input = this.#input === undefined
      ? chunk
      : Buffer.concat([this.#input, chunk]);
    this.#input = input;
    if (!this.#isHeld && !this.#isPausedByServer) {
      this.#run();
    } else {
      this.#setInput(input);
      this.socket.pause();
    }
  }

  /** The server reads on, or a request did; the guard's decision stands. */
  #handleResume(): void {
    if (this.isEnding || this.#isHeld) {
      if (!this.isEnding) {
        this.socket.pause();
      }
      return;
    }
    // The event comes a tick after the call; the server may have paused the
    // socket in between, and its parser accepts no input until it reads on.
    if (this.#isPausedByServer && !this.socket.isPaused()) {
      this.#isPausedByServer = false;
      this.#run();
    }
  }

  /** Parses slices of the input until the guard or the server stops it. */
  #run(): void {
    let input = this.#input;
    while (
      input !== undefined && input.length > 0 && !this.socket.destroyed &&
      !this.isEnding
    ) {
      if (this.#isPausedByServer) {
        this.#setInput(input);
        return;
      }
      const admitted = this.#guard.admitRead(this);
      if (admitted === 0) {
        this.#isHeld = true;
        this.socket.pause();
        this.#setInput(input);
        return;
      }
      const slice = input.subarray(0, admitted);
      input = input.subarray(slice.length);
      this.#parseSlice(slice);
    }
    this.#setInput(undefined);
  }

  #parseSlice(slice: Buffer): void {
    const startMs = performance.now();
    this.#parse?.call(this.socket, slice);
    this.#guard.addCost(this, performance.now() - startMs);
    this.#isPausedByServer = this.socket.isPaused();
  }

  /**
   * Keeps input; what a slice of a buffer keeps alive counts whole, and so does
   * the read that the paused socket may still do.
   */
  #setInput(input: Buffer | undefined): void {
    const before = this.#inputBytes;
    this.#input = input !== undefined && input.length > 0 && !this.isEnding
      ? input
      : undefined;
    this.#inputBytes = this.#input === undefined
      ? 0
      : this.#input.buffer.byteLength + READ_BYTES;
    if (this.#inputBytes !== before) {
      this.#guard.hold(this, this.#inputBytes - before);
    }
  }
}
