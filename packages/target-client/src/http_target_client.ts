import {
  type NoAnswer,
  SYNC_PATH,
  type SyncCall,
  type SyncResult,
  SyncResultKind,
} from "@mustardweir/protocol";
import { Agent, type Dispatcher, request } from "undici";
import { describeIssue, syncResultSchema } from "./message_schemas.ts";
import { TargetClient } from "./target_client.ts";

const DEFAULT_CONNECTIONS_PER_ORIGIN = 1_024;
const DEFAULT_KEEP_ALIVE_MS = 10_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 3_000;
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
const HTTP_OK = 200;

/** Options of an {@link HttpTargetClient}. */
export interface HttpTargetClientOptions {
  /**
   * Maximum connections per origin; 1,024 by default, since long polls
   * and commands run concurrently.
   */
  readonly connectionsPerOrigin?: number;
  /** Idle connections are closed after this; 10,000 ms by default. */
  readonly keepAliveMs?: number;
  /** Timeout for opening a connection; 3,000 ms by default. */
  readonly connectTimeoutMs?: number;
}

/**
 * Makes sync calls over persistent HTTP connections. A timeout closes the
 * call's connection, since it may be unresponsive.
 *
 * @example
 * ```ts
 * const client = new HttpTargetClient();
 * const result = await client.sync("http://10.0.0.7:7080/w1", call, 2_000);
 * ```
 */
export class HttpTargetClient extends TargetClient {
  readonly #agent: Agent;

  constructor(options: HttpTargetClientOptions = {}) {
    super();
    this.#agent = new Agent({
      connections: options.connectionsPerOrigin ??
        DEFAULT_CONNECTIONS_PER_ORIGIN,
      pipelining: 1,
      keepAliveTimeout: options.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS,
      connect: {
        timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      },
      // Each call sets its own timeout.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  }

  override async sync(
    address: string,
    call: SyncCall,
    timeoutMs: number,
  ): Promise<SyncResult> {
    const controller = new AbortController();
    const timer = setTimeout(() => controller.abort(), timeoutMs);
    try {
      const res = await this.#post(address, call, controller.signal);
      return await readResult(res);
    } catch (err) {
      return controller.signal.aborted
        ? noAnswer(`No answer within ${timeoutMs} ms`)
        : noAnswer(describeFailure(err));
    } finally {
      clearTimeout(timer);
    }
  }

  override async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #post(
    address: string,
    call: SyncCall,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    return request(`${address}${SYNC_PATH}`, {
      dispatcher: this.#agent,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(call),
      signal,
    });
  }
}

async function readResult(res: Dispatcher.ResponseData): Promise<SyncResult> {
  if (res.statusCode !== HTTP_OK) {
    await res.body.dump();
    return noAnswer(`The worker answered with status ${res.statusCode}`);
  }
  const parsed = syncResultSchema.safeParse(await res.body.json());
  return parsed.success ? parsed.data : noAnswer(
    `The worker's answer is malformed: ${describeIssue(parsed.error)}`,
  );
}

function noAnswer(message: string): NoAnswer {
  return { kind: SyncResultKind.NoAnswer, message };
}

function describeFailure(err: unknown): string {
  if (err instanceof SyntaxError) {
    return "The worker's answer is malformed: not JSON";
  }
  const message = err instanceof Error ? err.message : String(err);
  const code = (err as { code?: unknown }).code;
  const line = message === "" ? String(code) : message;
  return `The call to the worker failed: ${line.split("\n", 1)[0]}`;
}
