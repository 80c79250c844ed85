/** The platform's HTTP API; services register their routes with it. */
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Random } from "@mustardweir/kernel";
import { type Context, Hono } from "hono";
import { err, ok, Result } from "neverthrow";
import * as z from "zod";
import {
  jsonResponse,
  type PlatformRequest,
  type PlatformResponse,
  RequestKind,
  type RequestOutcome,
  RequestOutcomeKind,
} from "./call.ts";
import {
  createFaults,
  type Fault,
  FAULT_SETTINGS,
  type FaultSettings,
  runRequest,
} from "./faults.ts";
import { createServices } from "./service.ts";

/** The initial settings of the stand-in. */
export interface PlatformOptions {
  /** Seed of the random choice of affected writes; 1 by default. */
  readonly seed?: number;
  /** Lag of the instance list, in milliseconds; 1000 by default. */
  readonly listLagMs?: number;
  /** No fault is active by default. */
  readonly faults?: Partial<FaultSettings>;
}

/** Counters of the requests that took effect since the start. */
export interface PlatformStats {
  reads: number;
  writes: number;
  conflicts: number;
  /** Total size of request and response bodies. */
  bytes: number;
}

/** The Hono context of a request on a Node.js server. */
export type PlatformContext = Context<{ Bindings: HttpBindings }>;

/**
 * Parses a request without executing it. The error is the response to a
 * malformed request.
 */
export type RequestParser = (
  ctx: PlatformContext,
  body: string,
) => Result<PlatformRequest["apply"], PlatformResponse>;

/**
 * The in-memory stand-in for the platform.
 *
 * @example
 * ```ts
 * const platform = new Platform({ listLagMs: 0 });
 * const res = await platform.app.request("/v1/stats");
 * ```
 */
export class Platform {
  readonly app = new Hono<{ Bindings: HttpBindings }>();
  readonly listLagMs: number;
  readonly stats: PlatformStats = {
    reads: 0,
    writes: 0,
    conflicts: 0,
    bytes: 0,
  };
  readonly #random: Random;
  #settings: FaultSettings;
  #faults: readonly Fault[];

  constructor(options: PlatformOptions = {}) {
    this.listLagMs = options.listLagMs ?? 1_000;
    this.#random = new Random(options.seed ?? 1);
    this.#settings = FAULT_SETTINGS.parse(options.faults ?? {});
    this.#faults = createFaults(this.#settings, this.#random);
    for (const service of createServices()) {
      service.register(this);
    }
  }

  /** The active faults. */
  get faults(): FaultSettings {
    return this.#settings;
  }

  /** Replaces the faults; requests in progress keep the previous ones. */
  setFaults(settings: FaultSettings): void {
    this.#settings = settings;
    this.#faults = createFaults(settings, this.#random);
  }

  /** Adds a route whose requests count as reads and are subject to faults. */
  read(path: string, parser: RequestParser): void {
    this.app.get(path, (ctx) => this.#serve(ctx, RequestKind.Read, parser));
  }

  /** Adds a route whose requests count as writes and are subject to faults. */
  write(method: string, path: string, parser: RequestParser): void {
    const serve = (ctx: PlatformContext) =>
      this.#serve(ctx, RequestKind.Write, parser);
    this.app.on(method, path, serve);
  }

  async #serve(
    ctx: PlatformContext,
    kind: RequestKind,
    parser: RequestParser,
  ): Promise<Response> {
    const body = await ctx.req.text();
    const parsed = parser(ctx, body);
    if (parsed.isErr()) {
      return send(ctx, parsed.error);
    }
    const apply = () => this.#updateStats(kind, body, parsed.value());
    return sendOutcome(ctx, await runRequest({ kind, apply }, this.#faults));
  }

  #updateStats(
    kind: RequestKind,
    body: string,
    response: PlatformResponse,
  ): PlatformResponse {
    const { stats } = this;
    stats.reads += Number(kind === RequestKind.Read);
    stats.writes += Number(kind === RequestKind.Write);
    stats.conflicts += Number(response.code === 409);
    stats.bytes += Buffer.byteLength(body) + Buffer.byteLength(response.body);
    return response;
  }
}

const readJson = Result.fromThrowable(
  (body: string): unknown => JSON.parse(body),
  () => jsonResponse(400, { error: "Body is not JSON" }),
);

/**
 * Parses a JSON body by `schema`; the error is the response to send.
 *
 * @example
 * ```ts
 * const transaction = parseJson(body, TRANSACTION);
 * ```
 */
export function parseJson<T>(
  body: string,
  schema: z.ZodType<T>,
): Result<T, PlatformResponse> {
  return readJson(body).andThen((value) => parse(value, schema));
}

/**
 * Validates a value of a request; the error is the response to send.
 *
 * @example
 * ```ts
 * const query = parse(ctx.req.query(), SCAN);
 * ```
 */
export function parse<T>(
  value: unknown,
  schema: z.ZodType<T>,
): Result<T, PlatformResponse> {
  const parsed = schema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(jsonResponse(400, { error: z.prettifyError(parsed.error) }));
}

function sendOutcome(ctx: PlatformContext, outcome: RequestOutcome): Response {
  switch (outcome.kind) {
    case RequestOutcomeKind.Answered:
      return send(ctx, outcome.answer);
    case RequestOutcomeKind.Disconnected:
      ctx.env.outgoing.destroy();
      return RESPONSE_ALREADY_SENT;
    case RequestOutcomeKind.Silent:
      return RESPONSE_ALREADY_SENT;
  }
}

/**
 * Creates the Hono response for a {@link PlatformResponse}.
 *
 * @example
 * ```ts
 * return send(ctx, jsonResponse(200, { revision }));
 * ```
 */
export function send(
  ctx: PlatformContext,
  { code, body }: PlatformResponse,
): Response {
  return ctx.newResponse(body, code as 200);
}
