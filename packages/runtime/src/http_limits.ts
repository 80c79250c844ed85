import type { Server } from "node:http";

/** Largest headers of a request, in bytes. */
export const MAX_HEADER_BYTES = 16 * 1024;

const MAX_HEADERS = 100;
const MAX_CONNECTIONS = 10_000;

/** Longest time for the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Longest time for a whole request to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Longer than balancers usually keep idle connections. */
const KEEP_ALIVE_MS = 65_000;

/** Limits of an HTTP server against slow and numerous clients. */
export interface HttpLimits {
  /** 10 s by default. */
  readonly headersTimeoutMs?: number;
  /** 60 s by default. */
  readonly requestTimeoutMs?: number;
  /** 10000 by default. */
  readonly maxConnections?: number;
}

/**
 * Options of `http.createServer` and `https.createServer` with limits.
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
  } = limits;
  return {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: headersTimeoutMs,
    requestTimeout: requestTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connectionsCheckingInterval: Math.min(headersTimeoutMs, 1_000),
  };
}

/**
 * Sets the limits that a server has no options for.
 *
 * @example
 * ```ts
 * limitServer(server, { maxConnections: 100 });
 * ```
 */
export function limitServer(server: Server, limits: HttpLimits = {}): void {
  server.maxHeadersCount = MAX_HEADERS;
  server.maxConnections = limits.maxConnections ?? MAX_CONNECTIONS;
}
