import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { type Command, Role } from "@mustardweir/kernel";
import {
  EffectKind,
  type NodeIdentity,
  type PeerMessage,
  PeerMessageKind,
  sendPeer,
} from "@mustardweir/protocol";
import { type EventSink, Metrics, type TlsFiles } from "@mustardweir/runtime";
import { JsonMessageCodec } from "./codec.ts";
import { LinkPerformer } from "./link_performer.ts";

const LOCAL_HOST = "127.0.0.1";
const WAIT_LIMIT_MS = 15_000;
const POLL_MS = 5;

/** A message with the node that it came from. */
export interface ReceivedMessage {
  readonly from: string;
  readonly message: PeerMessage;
}

/** The node that a test runs. */
export interface TestNodeOptions {
  readonly nodeId: string;
  readonly role?: Role;
  readonly incarnation?: string;
  /** 0, any free port, by default. */
  readonly port?: number;
  readonly maxQueuedMessages?: number;
  readonly tls?: TlsFiles;
}

/** A performer with a sink that keeps what arrives. */
export class TestNode implements EventSink {
  readonly identity: NodeIdentity;
  readonly metrics = new Metrics();
  readonly received: ReceivedMessage[] = [];
  readonly links: LinkPerformer;

  constructor(options: TestNodeOptions) {
    const role = options.role ?? Role.Scheduler;
    this.identity = {
      nodeId: options.nodeId,
      role,
      incarnation: options.incarnation ?? "1",
      availabilityZone: "tx-a",
      seedPeers: [],
    };
    this.links = new LinkPerformer({
      identity: this.identity,
      codec: new JsonMessageCodec(),
      listen: role === Role.Scheduler
        ? { host: LOCAL_HOST, port: options.port ?? 0 }
        : undefined,
      pingIntervalMs: 50,
      pingTimeoutMs: 300,
      maxQueuedMessages: options.maxQueuedMessages,
      metrics: this.metrics,
      tls: options.tls,
    });
  }

  post<Payload>(_command: Command<Payload>, payload: Payload): void {
    this.received.push(payload as ReceivedMessage);
  }

  /** Epochs of the messages received, which number them in these tests. */
  get numbers(): number[] {
    return this.received.map(({ message }) =>
      message.kind === PeerMessageKind.FenceHome ? message.homeEpoch : -1
    );
  }

  /** Holds links with `peers`, by way of `port` if it is given. */
  connect(peers: readonly TestNode[], port?: number): void {
    const addresses = peers.map(({ identity, links }) => ({
      nodeId: identity.nodeId,
      address: `${LOCAL_HOST}:${port ?? links.port}`,
    }));
    this.links.perform(
      { kind: EffectKind.ConnectPeers, peers: addresses },
      this,
    );
  }

  /** Sends messages numbered `first` to `last`. */
  send(to: string, [first, last = first]: readonly [number, number?]): void {
    for (let number = first; number <= last; number += 1) {
      this.links.perform(sendPeer(to, numbered(number)), this);
    }
  }
}

/** A message that carries a number. */
export function numbered(number: number): PeerMessage {
  return {
    kind: PeerMessageKind.FenceHome,
    team: "storefront",
    homeEpoch: number,
    sliceId: "tx-a/0",
    sliceEpoch: 1,
  };
}

/** The numbers from `first` to `last`. */
export function range(first: number, last: number): number[] {
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

/** Waits until `condition` holds; throws `what` when it does not. */
export async function eventually(
  what: string,
  condition: () => boolean,
): Promise<void> {
  const end = performance.now() + WAIT_LIMIT_MS;
  while (!condition()) {
    if (performance.now() > end) {
      throw new Error(`Waited in vain until ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Directions in which a relay carries bytes. */
export enum RelayDirection {
  ToServer = "to-server",
  ToClient = "to-client",
}

/**
 * Passes TCP connections on; open ones can be made silent in one direction
 * without being closed.
 */
export class TcpRelay {
  readonly #server: Server;
  readonly #silent = new Map<Socket, RelayDirection>();
  readonly #sockets = new Set<Socket>();

  constructor(targetPort: number) {
    this.#server = createServer((client) => this.#relay(client, targetPort));
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, LOCAL_HOST, resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  /** Makes the connections that are open now silent for good. */
  silence(direction: RelayDirection): void {
    for (const socket of this.#sockets) {
      this.#silent.set(socket, direction);
    }
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #relay(client: Socket, targetPort: number): void {
    const server = connect(targetPort, LOCAL_HOST);
    this.#pass(client, server, RelayDirection.ToServer);
    this.#pass(server, client, RelayDirection.ToClient);
  }

  #pass(from: Socket, to: Socket, direction: RelayDirection): void {
    this.#sockets.add(from);
    from.on("data", (bytes) => {
      if (this.#silent.get(from) !== direction) {
        to.write(bytes);
      }
    });
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      if (!this.#silent.has(from)) {
        to.destroy();
      }
    });
  }
}
