import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Maximum size of the headers of a request, in bytes. */
export const MAX_HEADER_BYTES = 16 * 1024;

const MAX_HEADERS = 100;
const MAX_CONNECTIONS = 10_000;

/** Maximum time for the headers of a request to arrive, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Maximum time for a whole request to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 60_000;

/**
 * Time for which idle connections stay open, in milliseconds; longer than load
 * balancers usually keep them.
 */
const IDLE_TIMEOUT_MS = 65_000;

/** Limits that protect an HTTP server from slow and too many clients. */
export interface HttpLimits {
  /** Maximum time for the headers to arrive; 10 s by default. */
  readonly headersTimeoutMs?: number;
  /** Maximum time for a whole request to arrive; 60 s by default. */
  readonly requestTimeoutMs?: number;
  /** Maximum number of connections; 10000 by default. */
  readonly maxConnections?: number;
  /** Time after which idle connections are closed; 65 s by default. */
  readonly idleTimeoutMs?: number;
}

/**
 * Returns options with limits for `http.createServer` and
 * `https.createServer`.
 *
 * @example
 * ```ts
 * const server = createServer(limitOptions({ headersTimeoutMs: 5_000 }), app);
 * ```
 */
export function limitOptions(limits: HttpLimits = {}) {
  const {
    headersTimeoutMs = HEADERS_TIMEOUT_MS,
    requestTimeoutMs = REQUEST_TIMEOUT_MS,
    idleTimeoutMs = IDLE_TIMEOUT_MS,
  } = limits;
  return {
    maxHeaderSize: MAX_HEADER_BYTES,
    // The runtime answers such requests without an event, so that pipelined
    // ones could not be counted; see `ConnectionGuard.rejectWithoutHost`.
    requireHostHeader: false,
    headersTimeout: headersTimeoutMs,
    requestTimeout: requestTimeoutMs,
    // Told to clients; {@link limitServer} decides what is closed.
    keepAliveTimeout: idleTimeoutMs,
    connectionsCheckingInterval: Math.min(headersTimeoutMs, 1_000),
  };
}

/**
 * Sets the limits that are properties of a server, not options, and closes
 * connections that stay idle.
 *
 * @example
 * ```ts
 * limitServer(server, { maxConnections: 100 });
 * ```
 */
export function limitServer(server: Server, limits: HttpLimits = {}): void {
  server.maxHeadersCount = MAX_HEADERS;
  server.maxConnections = limits.maxConnections ?? MAX_CONNECTIONS;
  closeWhenIdle(server, limits.idleTimeoutMs ?? IDLE_TIMEOUT_MS);
}

/**
 * Closes connections without a request for `idleMs`. The keep-alive timeout of
 * the runtime also drops a request that arrived during a pause of the process,
 * because timers run before the data is read.
 */
function closeWhenIdle(server: Server, idleMs: number): void {
  const openResponses = new WeakMap<Socket, number>();
  const addResponses = (socket: Socket, added: number) =>
    openResponses.set(socket, (openResponses.get(socket) ?? 0) + added);
  server.on("request", ({ socket }, res: ServerResponse) => {
    addResponses(socket, 1);
    res.once("close", () => addResponses(socket, -1));
  });
  server.timeout = idleMs;
  server.on("timeout", (socket: Socket) => {
    const { bytesRead } = socket;
    // Data that has arrived is read before this runs.
    setImmediate(() => {
      const isIdle = (openResponses.get(socket) ?? 0) === 0;
      if (isIdle && socket.bytesRead === bytesRead) {
        socket.destroy();
      }
    });
  });
}
