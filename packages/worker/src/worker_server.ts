/** HTTP server of the workers hosted by one process. */
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import { SYNC_PATH } from "@mustardweir/protocol";
import { describeIssue, syncCallSchema } from "@mustardweir/target-client";
import { type Context, Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { HostedWorker } from "./hosted_worker.ts";

const MAX_CONNECTIONS_PER_WORKER = 64;
/** Time to finish sending replies when the server stops, in milliseconds. */
const STOP_GRACE_MS = 100;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;

const faultsSchema = z.strictObject({
  failEverything: z.boolean().optional(),
  silent: z.boolean().optional(),
  lieFactor: z.number().nonnegative().optional(),
});

/** The workers that a server hosts, and the address it listens on. */
export interface WorkerServerOptions {
  readonly workers: readonly HostedWorker[];
  /** IP address to listen on; 127.0.0.1 by default. */
  readonly host?: string;
  /** 0, the default, takes any free port. */
  readonly port?: number;
}

/**
 * Serves each worker under `http://host:port/{workerId}`.
 *
 * @example
 * ```ts
 * const server = new WorkerServer({ workers });
 * const origin = await server.start(); // "http://127.0.0.1:40123"
 * await server.stop();
 * ```
 */
export class WorkerServer {
  readonly #workers: ReadonlyMap<string, HostedWorker>;
  readonly #host: string;
  readonly #port: number;
  readonly #server: Server;

  constructor(options: WorkerServerOptions) {
    const { workers } = options;
    this.#workers = new Map(workers.map((worker) => [worker.id, worker]));
    this.#host = options.host ?? "127.0.0.1";
    this.#port = options.port ?? 0;
    this.#server = createAdaptorServer(this.#createRoutes()) as Server;
    this.#server.maxConnections = MAX_CONNECTIONS_PER_WORKER * workers.length;
  }

  /** Starts listening and returns the origin; rejects when it can't listen. */
  async start(): Promise<string> {
    this.#server.listen(this.#port, this.#host);
    await once(this.#server, "listening");
    const { address, port, family } = this.#server.address() as AddressInfo;
    const host = family === "IPv6" ? `[${address}]` : address;
    return `http://${host}:${port}`;
  }

  /** Replies to the waiting calls, then closes all connections. */
  async stop(): Promise<void> {
    for (const worker of this.#workers.values()) {
      worker.close();
    }
    const closed = once(this.#server, "close");
    this.#server.close();
    const timer = setTimeout(
      () => this.#server.closeAllConnections(),
      STOP_GRACE_MS,
    );
    await closed;
    clearTimeout(timer);
  }

  #createRoutes(): Hono {
    const app = new Hono();
    app.get("/v1/workers", (c) => c.json([...this.#workers.keys()]));
    app.post(`/:workerId${SYNC_PATH}`, (c) => this.#serve(c, handleSync));
    app.put("/:workerId/v1/faults", (c) => this.#serve(c, setFaults));
    app.get("/:workerId/v1/starts", (c) => this.#serve(c, listStarts));
    app.post("/:workerId/v1/restart", (c) => this.#serve(c, restart));
    return app;
  }

  #serve(c: Context, handler: Handler): Response | Promise<Response> {
    const workerId = c.req.param("workerId") ?? "";
    const worker = this.#workers.get(workerId);
    return worker === undefined
      ? c.text(`There is no worker ${workerId}`, HTTP_NOT_FOUND)
      : handler(c, worker);
  }
}

type Handler = (
  c: Context,
  worker: HostedWorker,
) => Response | Promise<Response>;

async function handleSync(c: Context, worker: HostedWorker): Promise<Response> {
  const call = await readBody(c, syncCallSchema);
  if (call.isErr()) {
    return c.text(call.error, HTTP_BAD_REQUEST);
  }
  const { signal } = c.req.raw;
  const result = await worker.sync(call.value, signal);
  if (worker.faults.silent) {
    await waitForAbort(signal);
  }
  return c.json(result);
}

async function setFaults(c: Context, worker: HostedWorker): Promise<Response> {
  const faults = await readBody(c, faultsSchema);
  if (faults.isErr()) {
    return c.text(faults.error, HTTP_BAD_REQUEST);
  }
  worker.setFaults(faults.value);
  return c.json(worker.faults);
}

function listStarts(c: Context, worker: HostedWorker): Response {
  return c.json(worker.runs);
}

function restart(c: Context, worker: HostedWorker): Response {
  worker.restart();
  return c.json({});
}

/** Parses a JSON body; the error is a one-line text for the response. */
async function readBody<Body>(
  c: Context,
  schema: z.ZodType<Body>,
): Promise<Result<Body, string>> {
  const text = await c.req.text();
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return err("The body is not JSON");
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(describeIssue(parsed.error));
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
    }
    signal.addEventListener("abort", () => resolve());
  });
}
