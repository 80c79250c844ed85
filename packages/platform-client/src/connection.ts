import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Default maximum number of connections to the platform. */
const MAX_CONNECTIONS = 16;

const SERVICE_UNAVAILABLE = 503;

/** Why a call has no usable response. */
export enum CallErrorKind {
  /** No connection could be opened, so nothing was sent. */
  NotSent = "not-sent",
  /** The platform refused the call before it took effect. */
  Refused = "refused",
  /** The request was sent, but no complete response arrived in time. */
  NoAnswer = "no-answer",
  /** The response does not conform to the protocol. */
  Malformed = "malformed",
}

/** Error of a call without a usable response. */
export interface CallError {
  readonly kind: CallErrorKind;
  readonly message: string;
}

/** A request to the platform. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "PUT";
  /** Path and query, encoded. */
  readonly path: string;
  /** No body by default. */
  readonly body?: string;
}

/** The platform's response, not yet decoded. */
export interface HttpResponse {
  readonly code: number;
  readonly body: string;
}

/** Options of a {@link PlatformConnection}. */
export interface ConnectionOptions {
  /** For example `http://10.0.0.7:7070`. */
  readonly baseUrl: string;
  /** Timeout for a complete response; 2000 ms by default. */
  readonly timeoutMs?: number;
  /** Maximum number of connections; 16 by default. */
  readonly connections?: number;
}

/**
 * Sends requests to the platform over persistent connections, without retries.
 * After a timeout no connection that was open at that time is reused, since the
 * others may be unresponsive too.
 *
 * @example
 * ```ts
 * const connection = new PlatformConnection({ baseUrl });
 * const response = await connection.call({ method: "GET", path: "/v1/stats" });
 * ```
 */
export class PlatformConnection {
  readonly #options: ConnectionOptions;
  readonly #timeoutMs: number;
  #pool: Pool;
  #closing: Promise<void> | undefined;

  constructor(options: ConnectionOptions) {
    this.#options = options;
    this.#timeoutMs = options.timeoutMs ?? 2_000;
    this.#pool = this.#createPool();
  }

  /** Resolves within the timeout and never rejects. */
  async call(call: HttpRequest): Promise<Result<HttpResponse, CallError>> {
    if (this.#closing !== undefined) {
      return callError(CallErrorKind.NotSent, "Connection is closed");
    }
    const pool = this.#pool;
    const abort = new AbortController();
    const timer = setTimeout(() => {
      this.#retire(pool);
      abort.abort();
    }, this.#timeoutMs);
    try {
      return detectRefusal(await sendRequest(pool, call, abort.signal));
    } catch (cause) {
      const kind = isConnectError(cause)
        ? CallErrorKind.NotSent
        : CallErrorKind.NoAnswer;
      return callError(kind, messageOf(cause));
    } finally {
      clearTimeout(timer);
    }
  }

  /** Waits for calls in progress; later calls are not sent. */
  close(): Promise<void> {
    this.#closing ??= this.#pool.close();
    return this.#closing;
  }

  #createPool(): Pool {
    return new Pool(this.#options.baseUrl, {
      connections: this.#options.connections ?? MAX_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  /** Replaces the pool; calls in progress on the old one are completed. */
  #retire(pool: Pool): void {
    if (pool === this.#pool && this.#closing === undefined) {
      this.#pool = this.#createPool();
      void pool.close();
    }
  }
}

async function sendRequest(
  pool: Pool,
  call: HttpRequest,
  signal: AbortSignal,
): Promise<HttpResponse> {
  const res = await pool.request({ ...call, signal });
  return { code: res.statusCode, body: await res.body.text() };
}

function detectRefusal(
  response: HttpResponse,
): Result<HttpResponse, CallError> {
  return response.code === SERVICE_UNAVAILABLE
    ? callError(CallErrorKind.Refused, "Platform refused the call")
    : ok(response);
}

function callError(
  kind: CallErrorKind,
  message: string,
): Result<never, CallError> {
  return err({ kind, message });
}

/** Returns whether `cause` means that no connection could be opened. */
function isConnectError(cause: unknown): boolean {
  if (cause instanceof AggregateError) {
    return cause.errors.every(isConnectError);
  }
  const { syscall, code } = cause as NodeJS.ErrnoException;
  return syscall === "connect" || syscall === "getaddrinfo" ||
    code === "UND_ERR_CONNECT_TIMEOUT";
}

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
