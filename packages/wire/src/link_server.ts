import {
  createSecureServer,
  createServer,
  type Http2SecureServer,
  type Http2Server,
  Http2ServerRequest,
  type ServerHttp2Session,
} from "node:http2";
import type { AddressInfo } from "node:net";
import type { TLSSocket } from "node:tls";
import {
  type ConnectRouter,
  createContextKey,
  createContextValues,
  type HandlerContext,
} from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { Undo } from "@mustardweir/kernel";
import type { TlsFiles } from "@mustardweir/runtime";
import { type Frame, LinkService } from "./gen/mustardweir/link/v1/link_pb.ts";
import type { Link } from "./link.ts";
import { MAX_READ_BYTES } from "./link_limits.ts";
import { namesNode } from "./peer_identity.ts";

/** Where a node takes links. */
export interface ListenAddress {
  readonly host: string;
  /** 0 for any free port. */
  readonly port: number;
}

/** Connections of peers; a node has one or two of each. */
const MAX_CONNECTIONS = 2_000;

/** A peer opens one stream on a connection. */
const MAX_STREAMS = 4;

/** Connections without traffic are cut after this, in milliseconds. */
const IDLE_SESSION_MS = 10_000;

/** Longest time for a TLS handshake, in milliseconds. */
const HANDSHAKE_MS = 5_000;

/** What a stream's connection tells of its link. */
export interface AcceptedConnection {
  readonly disconnect: () => void;
  /** Whether the peer's certificate names a node; absent without TLS. */
  readonly provesNode?: (nodeId: string) => boolean;
}

/** How a server of links takes streams. */
export interface LinkServerOptions {
  /** Called for each stream that a peer opens. */
  readonly openLink: (connection: AcceptedConnection) => Link;
  /** Certificates of both sides; plain connections without. */
  readonly tls?: TlsFiles;
}

const SESSION = createContextKey<ServerHttp2Session | undefined>(undefined);

/** Takes links from peers over HTTP/2. */
export class LinkServer {
  readonly #options: LinkServerOptions;
  readonly #server: Http2Server | Http2SecureServer;
  readonly #sessions = new Set<ServerHttp2Session>();
  #unwatch: Undo = () => {};

  constructor(options: LinkServerOptions) {
    this.#options = options;
    this.#server = this.#createServer();
    this.#server.maxConnections = MAX_CONNECTIONS;
    this.#server.on("session", (session) => this.#keep(session));
  }

  #createServer(): Http2Server | Http2SecureServer {
    const { tls } = this.#options;
    const handler = this.#createHandler();
    const settings = { maxConcurrentStreams: MAX_STREAMS };
    if (tls === undefined) {
      return createServer({ settings }, handler);
    }
    const server = createSecureServer({
      ...tls.current,
      settings,
      requestCert: true,
      rejectUnauthorized: true,
      handshakeTimeout: HANDSHAKE_MS,
    }, handler);
    this.#unwatch = tls.watch((files) => server.setSecureContext(files));
    return server;
  }

  #createHandler() {
    return connectNodeAdapter({
      readMaxBytes: MAX_READ_BYTES,
      routes: (router) => this.#route(router),
      contextValues: (req) =>
        createContextValues().set(
          SESSION,
          req instanceof Http2ServerRequest
            ? req.stream.session as ServerHttp2Session
            : undefined,
        ),
    });
  }

  /** Resolves to the port once connections are taken. */
  listen(address: ListenAddress): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address.port, address.host, () => {
        this.#server.off("error", reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  close(): Promise<void> {
    this.#unwatch();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      for (const session of this.#sessions) {
        session.destroy();
      }
    });
  }

  #keep(session: ServerHttp2Session): void {
    this.#sessions.add(session);
    session.setTimeout(IDLE_SESSION_MS, () => session.destroy());
    session.on("close", () => this.#sessions.delete(session));
    // A broken session ends its streams; nothing else is to be done.
    session.on("error", () => {});
  }

  #route(router: ConnectRouter): void {
    router.service(LinkService, {
      exchange: (frames, context) => this.#exchange(frames, context),
    });
  }

  async *#exchange(
    frames: AsyncIterable<Frame>,
    context: HandlerContext,
  ): AsyncGenerator<Frame> {
    const session = context.values.get(SESSION);
    const link = this.#options.openLink({
      disconnect: () => session?.destroy(),
      provesNode: this.#options.tls && ((nodeId) => proves(session, nodeId)),
    });
    void link.readAll(frames);
    yield* link.frames();
  }
}

/** The handshake has checked who signed the certificate. */
function proves(
  session: ServerHttp2Session | undefined,
  nodeId: string,
): boolean {
  const socket = session?.socket as TLSSocket | undefined;
  return socket !== undefined &&
    namesNode(socket.getPeerCertificate(), nodeId);
}
