import { err, ok, type Result } from "neverthrow";
import { Client, type Dispatcher } from "undici";
import * as z from "zod";
import { type CliError, ExitCode, fail } from "./cli_error.ts";

/** Time limit for connecting, in milliseconds. */
const CONNECT_TIMEOUT_MS = 5_000;

/**
 * Time that the client waits beyond the time limit sent to the entry, in
 * milliseconds.
 */
const RESPONSE_MARGIN_MS = 5_000;

/** Default time limit for an answer of the entry, in milliseconds. */
export const DEFAULT_TIMEOUT_MS = 30_000;

/** Largest time limit for an answer that can be set, in milliseconds. */
export const MAX_TIMEOUT_MS = 300_000;

const PRECONDITION_FAILED = 412;
const FIRST_ERROR_STATUS = 400;

export interface EntryClientOptions {
  /** Base URL of an entry or of a load balancer in front of entries. */
  readonly entry: string;
  readonly key: string;
  /** Time limit for an answer; {@link DEFAULT_TIMEOUT_MS} by default. */
  readonly timeoutMs?: number;
  /** PEM certificates of the CA; those that Node.js trusts by default. */
  readonly ca?: string;
}

/** A request to an entry's HTTP API. */
export interface EntryCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  /** The configuration version that an edit is based on. */
  readonly ifMatch?: number;
  readonly idempotencyKey?: string;
}

const errorSchema = z.object({
  error: z.object({
    reason: z.string(),
    message: z.string(),
    outcome: z.string(),
    retryable: z.boolean().default(false),
  }),
});

/**
 * Sends requests to the HTTP API of an entry.
 *
 * @example
 * ```ts
 * const client = new EntryClient({ entry: "http://127.0.0.1:7400", key });
 * const teams = await client.call({ method: "GET", path: "/v1/teams" });
 * ```
 */
export class EntryClient {
  readonly #options: EntryClientOptions;
  readonly #client: Client;
  readonly #timeoutMs: number;

  constructor(options: EntryClientOptions) {
    this.#options = options;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#client = new Client(options.entry, {
      connect: { timeout: CONNECT_TIMEOUT_MS, ca: options.ca },
      headersTimeout: this.#timeoutMs + RESPONSE_MARGIN_MS,
      bodyTimeout: this.#timeoutMs + RESPONSE_MARGIN_MS,
    });
  }

  /** Sends a request and resolves to the parsed JSON of the response. */
  async call(call: EntryCall): Promise<Result<unknown, CliError>> {
    try {
      const res = await this.#client.request({
        method: call.method,
        path: call.path,
        headers: this.#headers(call),
        body: call.body === undefined ? null : JSON.stringify(call.body),
      });
      return await readReply(res);
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      const { entry } = this.#options;
      return err({
        exitCode: ExitCode.Unreachable,
        message: `No answer from ${entry}: ${reason}`,
        mayRetry: true,
      });
    }
  }

  close(): Promise<void> {
    return this.#client.destroy();
  }

  #headers(call: EntryCall): Record<string, string> {
    const headers: Record<string, string> = {
      "authorization": `Bearer ${this.#options.key}`,
      "request-timeout-ms": String(this.#timeoutMs),
    };
    if (call.body !== undefined) {
      headers["content-type"] = "application/json";
    }
    if (call.ifMatch !== undefined) {
      headers["if-match"] = `"${call.ifMatch}"`;
    }
    if (call.idempotencyKey !== undefined) {
      headers["idempotency-key"] = call.idempotencyKey;
    }
    return headers;
  }
}

async function readReply(
  res: Dispatcher.ResponseData,
): Promise<Result<unknown, CliError>> {
  const text = await res.body.text();
  const json = parseReply(text);
  if (res.statusCode < FIRST_ERROR_STATUS && json !== undefined) {
    return ok(json);
  }
  const parsed = errorSchema.safeParse(json);
  if (!parsed.success) {
    const message =
      `The entry returned status ${res.statusCode} without a reason`;
    return fail(ExitCode.Unreachable, message);
  }
  const { reason, message, outcome, retryable } = parsed.data.error;
  const exitCode = res.statusCode === PRECONDITION_FAILED
    ? ExitCode.Stale
    : ExitCode.Refused;
  return err({
    exitCode,
    message: `${message} (${reason}, ${outcome})`,
    outcome,
    reason,
    mayRetry: retryable,
  });
}

function parseReply(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
