/** The platform's HTTP face: services that register their routes with it. */
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Random } from "@mustardweir/kernel";
import { type Context, Hono } from "hono";
import { err, ok, Result } from "neverthrow";
import { z } from "zod";
import {
  type Answer,
  type Call,
  CallKind,
  jsonAnswer,
  type Outcome,
  OutcomeKind,
} from "./call.ts";
import {
  createFaults,
  type Fault,
  FAULT_SETTINGS,
  type FaultSettings,
  runCall,
} from "./faults.ts";
import { createServices } from "./service.ts";

/** How the stand-in behaves at its start. */
export interface PlatformOptions {
  /** Seed of the choice of writes that faults hit; 1 by default. */
  readonly seed?: number;
  /** Age of the instance list that readers see; 1000 ms by default. */
  readonly listLagMs?: number;
  /** All off by default. */
  readonly faults?: Partial<FaultSettings>;
}

/** Calls that took effect since the start. */
export interface PlatformStats {
  reads: number;
  writes: number;
  conflicts: number;
  /** Bytes of the bodies of calls and answers. */
  bytes: number;
}

/** The context of a call on a Node.js server. */
export type PlatformContext = Context<{ Bindings: HttpBindings }>;

/** Reads one call without carrying it out; a malformed one gets the error. */
export type CallReader = (
  ctx: PlatformContext,
  body: string,
) => Result<Call["apply"], Answer>;

/**
 * The stand-in of the platform, all in memory.
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

  /** Which faults are on. */
  get faults(): FaultSettings {
    return this.#settings;
  }

  /** Replaces the faults; calls under way keep the old ones. */
  setFaults(settings: FaultSettings): void {
    this.#settings = settings;
    this.#faults = createFaults(settings, this.#random);
  }

  /** Adds a route that counts as a read and meets the faults. */
  read(path: string, reader: CallReader): void {
    this.app.get(path, (ctx) => this.#serve(ctx, CallKind.Read, reader));
  }

  /** Adds a route that counts as a write and meets the faults. */
  write(method: string, path: string, reader: CallReader): void {
    const serve = (ctx: PlatformContext) =>
      this.#serve(ctx, CallKind.Write, reader);
    this.app.on(method, path, serve);
  }

  async #serve(
    ctx: PlatformContext,
    kind: CallKind,
    reader: CallReader,
  ): Promise<Response> {
    const body = await ctx.req.text();
    const read = reader(ctx, body);
    if (read.isErr()) {
      return send(ctx, read.error);
    }
    const apply = () => this.#count(kind, body, read.value());
    return respond(ctx, await runCall({ kind, apply }, this.#faults));
  }

  #count(kind: CallKind, body: string, answer: Answer): Answer {
    const { stats } = this;
    stats.reads += Number(kind === CallKind.Read);
    stats.writes += Number(kind === CallKind.Write);
    stats.conflicts += Number(answer.code === 409);
    stats.bytes += Buffer.byteLength(body) + Buffer.byteLength(answer.body);
    return answer;
  }
}

const readJson = Result.fromThrowable(
  (body: string): unknown => JSON.parse(body),
  () => jsonAnswer(400, { error: "Body is not JSON" }),
);

/**
 * Parses a JSON body; the error is the answer to give.
 *
 * @example
 * ```ts
 * const transaction = parseJson(body, TRANSACTION);
 * ```
 */
export function parseJson<T>(
  body: string,
  schema: z.ZodType<T>,
): Result<T, Answer> {
  return readJson(body).andThen((value) => parse(value, schema));
}

/**
 * Checks a value of a call; the error is the answer to give.
 *
 * @example
 * ```ts
 * const query = parse(ctx.req.query(), SCAN);
 * ```
 */
export function parse<T>(
  value: unknown,
  schema: z.ZodType<T>,
): Result<T, Answer> {
  const parsed = schema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(jsonAnswer(400, { error: z.prettifyError(parsed.error) }));
}

function respond(ctx: PlatformContext, outcome: Outcome): Response {
  switch (outcome.kind) {
    case OutcomeKind.Answered:
      return send(ctx, outcome.answer);
    case OutcomeKind.Disconnected:
      ctx.env.outgoing.destroy();
      return RESPONSE_ALREADY_SENT;
    case OutcomeKind.Silent:
      return RESPONSE_ALREADY_SENT;
  }
}

/**
 * Makes the response that carries `answer`.
 *
 * @example
 * ```ts
 * return send(ctx, jsonAnswer(200, { revision }));
 * ```
 */
export function send(ctx: PlatformContext, { code, body }: Answer): Response {
  return ctx.newResponse(body, code as 200);
}
