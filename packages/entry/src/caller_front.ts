import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  createServer as createSecureServer,
  Server as SecureServer,
} from "node:https";
import type { AddressInfo } from "node:net";
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { parseJson } from "@mustardweir/configuration";
import type { Undo } from "@mustardweir/kernel";
import { Outcome, RefusalReason, refuse } from "@mustardweir/model";
import {
  CALLER_DISCONNECTED,
  CALLER_REQUESTED,
  type CallerAnswer,
  CallerAnswerKind,
  EffectKind,
  type NodeEffect,
} from "@mustardweir/protocol";
import {
  addProbes,
  callerLimits,
  type ClientLimits,
  ConnectionGuard,
  type EventSink,
  type HostPort,
  type HttpLimits,
  limitOptions,
  limitServer,
  type Metrics,
  Performer,
  type TlsFiles,
} from "@mustardweir/runtime";
import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import { ok } from "neverthrow";
import {
  type Decoded,
  decodeKeyHash,
  decodeTtl,
  malformed,
  type RouteInput,
} from "./decode.ts";
import { encodeRefusal, type HttpReply } from "./encode.ts";
import { createOpenApi, OPENAPI_PATH } from "./openapi.ts";
import {
  MAX_INVENTORY_BYTES,
  type Route,
  type RoutedCall,
  ROUTES,
} from "./routes.ts";

/**
 * Interval at which a closing server checks whether all responses have been
 * sent, in milliseconds.
 */
const CLOSE_POLL_MS = 50;

/**
 * Time after which a closing server destroys the connections that are still
 * open, in milliseconds.
 */
const CLOSE_GRACE_MS = 5_000;

const INTERNAL_ERROR = 500;
const TOO_LARGE = 413;

export interface CallerFrontOptions {
  readonly listen: HostPort;
  /** Returns whether a load balancer may send requests here. */
  readonly isReady: () => boolean;
  /** Returns the version of the configuration in force, for each response. */
  readonly configurationVersion?: () => number;
  /** Certificate and key; plain HTTP if not set. */
  readonly tls?: TlsFiles;
  /** Limits of headers, connections and time; see {@link HttpLimits}. */
  readonly limits?: HttpLimits;
  /** Limits of what clients cost; see {@link callerLimits}. */
  readonly clients?: ClientLimits;
  /** Served at `/metrics`; without it the path is not found. */
  readonly metrics?: Metrics;
}

type App = Hono<{ Bindings: HttpBindings }>;
type Waiter = (answer: CallerAnswer) => void;

/**
 * The HTTP front end for callers and operators. Decodes requests to calls and
 * encodes answers as responses; the plug-ins make all decisions.
 *
 * @example
 * ```ts
 * const front = new CallerFront({
 *   listen: { host: "127.0.0.1", port: 0 },
 *   isReady: () => true,
 * });
 * const loop = new EventLoop({ kernel, performers: [front] });
 * ```
 */
export class CallerFront extends Performer {
  override readonly kinds = [EffectKind.AnswerCaller];
  readonly #options: CallerFrontOptions;
  readonly #waiters = new Map<string, Waiter>();
  /** Number of requests whose response has not been sent completely. */
  #openReplies = 0;
  #server: Server | undefined;
  #isClosed = false;
  #unwatch: Undo = () => {};

  constructor(options: CallerFrontOptions) {
    super();
    this.#options = options;
  }

  /** The port that is listened on; 0 before the start. */
  get port(): number {
    const address = this.#server?.address() as AddressInfo | null | undefined;
    return address?.port ?? 0;
  }

  override async start(sink: EventSink): Promise<void> {
    const app = this.#createApp(sink);
    const server = this.#createServer(app);
    this.#server = server;
    const { host, port } = this.#options.listen;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
  }

  override perform(effect: NodeEffect): void {
    if (effect.kind === EffectKind.AnswerCaller) {
      this.#resolveRequest(effect.requestId, effect.answer);
    }
  }

  /**
   * Refuses the calls that still wait for an answer, then closes the server
   * when all responses have been sent.
   */
  override async close(): Promise<void> {
    this.#isClosed = true;
    this.#unwatch();
    for (const requestId of this.#waiters.keys()) {
      this.#resolveRequest(requestId, stoppingAnswer(Outcome.Unknown));
    }
    if (this.#server) {
      await closeServer(this.#server, () => this.#openReplies === 0);
    }
  }

  /**
   * Creates an HTTPS server that reloads its certificates when the files
   * change, or an HTTP server if there are no certificates.
   */
  #createServer(app: App): Server {
    const { limits, tls } = this.#options;
    const guard = this.#createGuard();
    const server = createAdaptorServer(
      {
        fetch: app.fetch,
        createServer: (options: object, listener: RequestListener) => {
          const receive: RequestListener = (req, res) =>
            receiveBody(guard, req, res, listener);
          return tls
            ? createSecureServer(options, receive)
            : createServer(options, receive);
        },
        serverOptions: { ...limitOptions(limits), ...tls?.current },
      } as Parameters<typeof createAdaptorServer>[0],
    ) as Server;
    limitServer(server, limits);
    guard.protect(server);
    if (tls !== undefined && server instanceof SecureServer) {
      this.#unwatch = tls.watch((files) => server.setSecureContext(files));
    }
    return server;
  }

  #createGuard(): ConnectionGuard {
    const { clients = callerLimits({}), metrics } = this.#options;
    return new ConnectionGuard({
      listener: "entry",
      limits: clients,
      replacesConnections: false,
      ...(metrics === undefined ? {} : { metrics }),
    });
  }

  #createApp(sink: EventSink): App {
    const app: App = new Hono();
    app.use((c, next) => {
      this.#openReplies += 1;
      c.env.outgoing.once("close", () => this.#openReplies -= 1);
      return next();
    });
    addProbes(app, {
      isReady: () => this.#options.isReady() && !this.#isClosed,
      metrics: this.#options.metrics,
    });
    app.get(OPENAPI_PATH, (c) => c.json(createOpenApi()));
    for (const route of ROUTES) {
      this.#addRoute(app, route, sink);
    }
    app.notFound((c) => this.#send(c, notFoundReply(c)));
    app.onError((_error, c) => this.#send(c, internalErrorReply()));
    return app;
  }

  #addRoute(app: App, route: Route, sink: EventSink): void {
    const { method, path, maxBodyBytes } = route;
    const limit = bodyLimit({
      maxSize: maxBodyBytes ?? 0,
      onError: (c) => this.#send(c, tooLargeReply(maxBodyBytes ?? 0)),
    });
    app.on(method, path, limit, async (c) => {
      const decoded = await decodeRequest(c, route);
      const reply = await decoded.match(
        (request) => this.#call(c, request, sink),
        ({ refusal, status }) =>
          Promise.resolve(encodeRefusal(refusal, status)),
      );
      return this.#send(c, reply);
    });
  }

  /** Posts the call to the loop and waits for the answer to its request id. */
  async #call(
    c: Context,
    { keyHash, ttlMs, routed }: DecodedRequest,
    sink: EventSink,
  ): Promise<HttpReply> {
    if (this.#isClosed) {
      return routed.encode(stoppingAnswer(Outcome.NotRun));
    }
    const requestId = randomUUID();
    const answered = new Promise<CallerAnswer>((resolve) => {
      this.#waiters.set(requestId, resolve);
    });
    const { signal } = c.req.raw;
    signal.addEventListener("abort", () => {
      if (this.#waiters.delete(requestId)) {
        sink.post(CALLER_DISCONNECTED, { requestId });
      }
    });
    const { call } = routed;
    const wallMs = Date.now();
    sink.post(CALLER_REQUESTED, { requestId, keyHash, wallMs, ttlMs, call });
    return routed.encode(await answered);
  }

  /** Adds the time and the version of the configuration to a response. */
  #send(c: Context, reply: HttpReply): Response {
    const { body, status, headers, minVersion = 0 } = reply;
    const inForce = this.#options.configurationVersion?.() ?? 0;
    const stamped = {
      ...body as object,
      asOf: new Date().toISOString(),
      configurationVersion: Math.max(inForce, minVersion),
    };
    return c.json(stamped, status, headers as Record<string, string>);
  }

  #resolveRequest(requestId: string, answer: CallerAnswer): void {
    const waiter = this.#waiters.get(requestId);
    this.#waiters.delete(requestId);
    waiter?.(answer);
  }
}

/**
 * Receives the body of a request in one buffer and passes both to the listener,
 * which would keep the chunks of a body in a list. A body that is too large by
 * its header is left to the listener, which rejects it unread.
 */
function receiveBody(
  guard: ConnectionGuard,
  req: IncomingMessage,
  res: ServerResponse,
  listener: RequestListener,
): void {
  if (guard.isEnding(req)) {
    return;
  }
  const { "content-length": length, "transfer-encoding": encoding } =
    req.headers;
  const hasBody = encoding !== undefined || Number(length ?? 0) > 0;
  if (!hasBody || Number(length ?? 0) > MAX_INVENTORY_BYTES) {
    listener(req, res);
    return;
  }
  guard.readBody(req, res, {
    maxBytes: MAX_INVENTORY_BYTES,
    onEnd: (body) => {
      Object.assign(req, { rawBody: body.toBuffer() });
      listener(req, res);
    },
    onTooLarge: () => {
      const { body } = tooLargeReply(MAX_INVENTORY_BYTES);
      res.writeHead(TOO_LARGE, {
        "content-type": "application/json",
        connection: "close",
      });
      res.end(JSON.stringify(body));
      guard.stopReading(req);
    },
  });
}

/**
 * Stops accepting connections, waits until `isIdle` returns true or the grace
 * time is over, then destroys the connections that are still open.
 */
async function closeServer(
  server: Server,
  isIdle: () => boolean,
): Promise<void> {
  const closed = new Promise((resolve) => server.close(resolve));
  const deadline = performance.now() + CLOSE_GRACE_MS;
  const poll = setInterval(() => {
    server.closeIdleConnections();
    if (isIdle() || performance.now() > deadline) {
      server.closeAllConnections();
    }
  }, CLOSE_POLL_MS);
  await closed;
  clearInterval(poll);
}

interface DecodedRequest {
  readonly keyHash: string;
  readonly ttlMs: number;
  readonly routed: RoutedCall;
}

async function decodeRequest(
  c: Context,
  route: Route,
): Promise<Decoded<DecodedRequest>> {
  const text = route.maxBodyBytes === undefined ? "" : await c.req.text();
  return decodeKeyHash(c.req.header("Authorization")).andThen((keyHash) =>
    decodeTtl(c.req.header("Request-Timeout-Ms")).andThen((ttlMs) =>
      decodeJson(route, text)
        .andThen((body) => route.decode(createRouteInput(c, body)))
        .map((routed) => ({ keyHash, ttlMs, routed }))
    )
  );
}

function decodeJson(route: Route, text: string): Decoded<unknown> {
  return route.maxBodyBytes === undefined
    ? ok(undefined)
    : parseJson(text).orElse(() => malformed("The body is not JSON"));
}

function createRouteInput(c: Context, body: unknown): RouteInput {
  return {
    param: (name) => c.req.param(name) ?? "",
    query: (name) => c.req.query(name),
    header: (name) => c.req.header(name),
    body,
  };
}

function tooLargeReply(maxBodyBytes: number): HttpReply {
  return encodeRefusal(refuse(RefusalReason.BodyTooLarge, {
    message: `The body is larger than ${maxBodyBytes} bytes`,
  }));
}

/** The response to an unexpected error; the outcome of the call is unknown. */
function internalErrorReply(): HttpReply {
  return encodeRefusal(
    refuse(RefusalReason.Malformed, {
      message: "The request could not be served",
      outcome: Outcome.Unknown,
    }),
    INTERNAL_ERROR,
  );
}

function notFoundReply(c: Context): HttpReply {
  return encodeRefusal(refuse(RefusalReason.NotFound, {
    message: `There is no ${c.req.method} ${c.req.path}`,
  }));
}

function stoppingAnswer(outcome: Outcome): CallerAnswer {
  const refusal = refuse(RefusalReason.Stopping, {
    message: "This entry is stopping",
    outcome,
  });
  return { kind: CallerAnswerKind.Refused, refusal };
}
