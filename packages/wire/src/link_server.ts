import {
  createServer,
  Http2ServerRequest,
  type ServerHttp2Session,
} from "node:http2";
import type { AddressInfo } from "node:net";
import {
  type ConnectRouter,
  createContextKey,
  createContextValues,
  type HandlerContext,
} from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { type Frame, LinkService } from "./gen/mustardweir/link/v1/link_pb.ts";
import type { Link } from "./link.ts";

/** Where a node takes links. */
export interface ListenAddress {
  readonly host: string;
  /** 0 for any free port. */
  readonly port: number;
}

const SESSION = createContextKey<ServerHttp2Session | undefined>(undefined);

/** Takes links from peers over HTTP/2. */
export class LinkServer {
  readonly #server;
  readonly #sessions = new Set<ServerHttp2Session>();
  readonly #openLink: (disconnect: () => void) => Link;

  /** `openLink` is called for each stream that a peer opens. */
  constructor(openLink: (disconnect: () => void) => Link) {
    this.#openLink = openLink;
    this.#server = createServer(connectNodeAdapter({
      routes: (router) => this.#route(router),
      contextValues: (req) =>
        createContextValues().set(
          SESSION,
          req instanceof Http2ServerRequest
            ? req.stream.session as ServerHttp2Session
            : undefined,
        ),
    }));
    this.#server.on("session", (session) => this.#keep(session));
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
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      for (const session of this.#sessions) {
        session.destroy();
      }
    });
  }

  #keep(session: ServerHttp2Session): void {
    this.#sessions.add(session);
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
    const link = this.#openLink(() => session?.destroy());
    void link.readAll(frames);
    yield* link.frames();
  }
}
