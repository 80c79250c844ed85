import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";

/** Longest wait for a connection to be made, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Connections to the platform held at the same time. */
const MAX_CONNECTIONS = 16;

const SERVICE_UNAVAILABLE = 503;

/** Why a call brought no answer that can be used. */
export enum CallErrorKind {
  /** No connection could be made, so nothing was sent. */
  NotSent = "not-sent",
  /** The platform refused the call before it took effect. */
  Refused = "refused",
  /** The call was sent, and no whole answer came in time. */
  NoAnswer = "no-answer",
  /** The answer does not keep to the protocol. */
  Malformed = "malformed",
}

/** A call that brought no usable answer. */
export interface CallError {
  readonly kind: CallErrorKind;
  readonly message: string;
}

/** One call of the platform. */
export interface HttpCall {
  readonly method: "GET" | "POST" | "PUT";
  /** Path and query, encoded. */
  readonly path: string;
  /** None by default. */
  readonly body?: string;
}

/** The platform's answer, not yet decoded. */
export interface HttpAnswer {
  readonly code: number;
  readonly body: string;
}

/** How the platform is reached. */
export interface ConnectionOptions {
  /** For example `http://10.0.0.7:7070`. */
  readonly baseUrl: string;
  /** Longest wait for a whole answer; 2000 ms by default. */
  readonly timeoutMs?: number;
  /** Connections held at the same time; 16 by default. */
  readonly connections?: number;
}

/**
 * Makes calls to the platform over kept connections. Never retries. After a
 * timeout none of the connections open at that time is used again, because
 * others of the same age may have gone silent too.
 *
 * @example
 * ```ts
 * const connection = new PlatformConnection({ baseUrl });
 * const answer = await connection.call({ method: "GET", path: "/v1/stats" });
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
  async call(call: HttpCall): Promise<Result<HttpAnswer, CallError>> {
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
      return checkRefusal(await exchange(pool, call, abort.signal));
    } catch (cause) {
      const kind = isConnectError(cause)
        ? CallErrorKind.NotSent
        : CallErrorKind.NoAnswer;
      return callError(kind, messageOf(cause));
    } finally {
      clearTimeout(timer);
    }
  }

  /** Waits for the calls under way; later calls are not sent. */
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

  /** Calls under way on the old pool end by themselves. */
  #retire(pool: Pool): void {
    if (pool === this.#pool && this.#closing === undefined) {
      this.#pool = this.#createPool();
      void pool.close();
    }
  }
}

async function exchange(
  pool: Pool,
  call: HttpCall,
  signal: AbortSignal,
): Promise<HttpAnswer> {
  const res = await pool.request({ ...call, signal });
  return { code: res.statusCode, body: await res.body.text() };
}

function checkRefusal(answer: HttpAnswer): Result<HttpAnswer, CallError> {
  return answer.code === SERVICE_UNAVAILABLE
    ? callError(CallErrorKind.Refused, "Platform refused the call")
    : ok(answer);
}

function callError(
  kind: CallErrorKind,
  message: string,
): Result<never, CallError> {
  return err({ kind, message });
}

/** Whether `cause` says that no connection could be made. */
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
