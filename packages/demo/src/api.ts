import { Agent, request } from "undici";

/** An entry's answer to an API call. */
export interface ApiAnswer<Body = unknown> {
  /** HTTP status; 0 if there was no response. */
  readonly status: number;
  readonly body: Body;
}

/** A call to the API of an entry. */
export interface ApiCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly key: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Longest wait for a response, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 30_000;

/** HTTP client for the public API of one entry. */
export class Api {
  readonly #base: string;
  readonly #agent = new Agent({
    connections: 64,
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });

  constructor(base: string) {
    this.#base = base;
  }

  /** Sends a call. Never rejects: without a response the status is 0. */
  async call<Body>(call: ApiCall): Promise<ApiAnswer<Body>> {
    try {
      const res = await request(this.#base + call.path, {
        method: call.method,
        dispatcher: this.#agent,
        headers: {
          authorization: `Bearer ${call.key}`,
          "content-type": "application/json",
          ...call.headers,
        },
        ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
      });
      return { status: res.statusCode, body: await res.body.json() as Body };
    } catch {
      return { status: 0, body: undefined as Body };
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
