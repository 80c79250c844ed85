import { Agent, request } from "undici";

/** An answer of an entry. */
export interface ApiAnswer<Body = unknown> {
  /** HTTP status; 0 when no answer came. */
  readonly status: number;
  readonly body: Body;
}

/** One call of an entry's API. */
export interface ApiCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly key: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Longest wait for an answer, in milliseconds. */
const TIMEOUT_MS = 30_000;

/** Calls one entry, as any caller would. */
export class Api {
  readonly #base: string;
  readonly #agent = new Agent({
    connections: 64,
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  });

  constructor(base: string) {
    this.#base = base;
  }

  /** Never rejects: a call without an answer has status 0. */
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
