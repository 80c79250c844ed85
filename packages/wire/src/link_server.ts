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
import { certificateNamesNode } from "./peer_identity.ts";

/** Address on which a node accepts links. */
export interface ListenAddress {
  readonly host: string;
  /** 0 for any free port. */
  readonly port: number;
}

/** Maximum number of connections; each peer has one or two. */
const MAX_CONNECTIONS = 2_000;

/** Maximum number of streams on one connection; a peer opens one. */
const MAX_STREAMS_PER_CONNECTION = 4;

/** Connections without traffic are closed after this, in milliseconds. */
const IDLE_SESSION_TIMEOUT_MS = 10_000;

/** Longest time for a TLS handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 5_000;

/** The connection of a stream that a peer opened. */
export interface AcceptedConnection {
  /** Closes the connection. */
  readonly disconnect: () => void;
  /**
   * Whether the peer's certificate belongs to the node of this id; undefined
   * without TLS.
   */
  readonly matchesCertificate?: (nodeId: string) => boolean;
}

/** How a link server accepts streams. */
export interface LinkServerOptions {
  /** Called for each stream that a peer opens; returns its link. */
  readonly openLink: (connection: AcceptedConnection) => Link;
  /** Certificate, key and CA; connections are unencrypted if undefined. */
  readonly tls?: TlsFiles;
  /** Largest frame that is read, in bytes; 64 MB by default. */
  readonly maxReadBytes?: number;
  /** Maximum number of connections; 2000 by default. */
  readonly maxConnections?: number;
}

const SESSION = createContextKey<ServerHttp2Session | undefined>(undefined);

/** Accepts links from peers over HTTP/2. */
export class LinkServer {
  readonly #options: LinkServerOptions;
  readonly #server: Http2Server | Http2SecureServer;
  readonly #sessions = new Set<ServerHttp2Session>();
  #unwatch: Undo = () => {};

  constructor(options: LinkServerOptions) {
    this.#options = options;
    this.#server = this.#createServer();
    this.#server.maxConnections = options.maxConnections ?? MAX_CONNECTIONS;
    this.#server.on("session", (session) => this.#trackSession(session));
  }

  #createServer(): Http2Server | Http2SecureServer {
    const { tls } = this.#options;
    const handler = this.#createHandler();
    const settings = { maxConcurrentStreams: MAX_STREAMS_PER_CONNECTION };
    if (tls === undefined) {
      return createServer({ settings }, handler);
    }
    const server = createSecureServer({
      ...tls.current,
      settings,
      requestCert: true,
      rejectUnauthorized: true,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    }, handler);
    this.#unwatch = tls.watch((files) => server.setSecureContext(files));
    return server;
  }

  #createHandler() {
    return connectNodeAdapter({
      readMaxBytes: this.#options.maxReadBytes ?? MAX_READ_BYTES,
      routes: (router) => this.#registerRoutes(router),
      contextValues: (req) =>
        createContextValues().set(
          SESSION,
          req instanceof Http2ServerRequest
            ? req.stream.session as ServerHttp2Session
            : undefined,
        ),
    });
  }

  /** Resolves to the port once the server accepts connections. */
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

  #trackSession(session: ServerHttp2Session): void {
    this.#sessions.add(session);
    session.setTimeout(IDLE_SESSION_TIMEOUT_MS, () => session.destroy());
    session.on("close", () => this.#sessions.delete(session));
    // A session error also ends its streams, which closes their links.
    session.on("error", () => {});
  }

  #registerRoutes(router: ConnectRouter): void {
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
      matchesCertificate: this.#options.tls &&
        ((nodeId) => matchesPeerCertificate(session, nodeId)),
    });
    void link.readAll(frames);
    yield* link.frames();
  }
}

/**
 * Whether the peer's certificate belongs to the node. Its issuer was checked
 * during the handshake.
 */
function matchesPeerCertificate(
  session: ServerHttp2Session | undefined,
  nodeId: string,
): boolean {
  const socket = session?.socket as TLSSocket | undefined;
  return socket !== undefined &&
    certificateNamesNode(socket.getPeerCertificate(), nodeId);
}
