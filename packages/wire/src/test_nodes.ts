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
const WAIT_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 5;

/** A message and the id of the node that sent it. */
export interface ReceivedMessage {
  readonly from: string;
  readonly message: PeerMessage;
}

/** How a test node is set up. */
export interface TestNodeOptions {
  readonly nodeId: string;
  readonly role?: Role;
  readonly incarnation?: string;
  /** 0 by default, for any free port. */
  readonly port?: number;
  readonly maxQueuedMessages?: number;
  readonly tls?: TlsFiles;
}

/** A link performer with a sink that stores the received messages. */
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

  /** Numbers of the received messages, carried in their home epochs. */
  get receivedNumbers(): number[] {
    return this.received.map(({ message }) =>
      message.kind === PeerMessageKind.FenceHome ? message.homeEpoch : -1
    );
  }

  /** Sets the peers to connect to; `port` replaces their ports if given. */
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

  /** Sends the messages numbered `first` to `last`. */
  send(to: string, [first, last = first]: readonly [number, number?]): void {
    for (let number = first; number <= last; number += 1) {
      this.links.perform(sendPeer(to, createNumberedMessage(number)), this);
    }
  }
}

/** Creates a message that carries a number in its home epoch. */
export function createNumberedMessage(number: number): PeerMessage {
  return {
    kind: PeerMessageKind.FenceHome,
    team: "storefront",
    homeEpoch: number,
    sliceId: "tx-a/0",
    sliceEpoch: 1,
  };
}

/** Returns the integers from `first` to `last`. */
export function createRange(first: number, last: number): number[] {
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

/** Waits until `condition` holds; throws an error with `what` on timeout. */
export async function waitUntil(
  what: string,
  condition: () => boolean,
): Promise<void> {
  const end = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > end) {
      throw new Error(`Timed out waiting until ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Direction in which a relay forwards bytes. */
export enum RelayDirection {
  ToServer = "to-server",
  ToClient = "to-client",
}

/**
 * Forwards TCP connections to a port. It can drop the bytes of open connections
 * in one direction without closing them.
 */
export class TcpRelay {
  readonly #server: Server;
  readonly #droppedDirections = new Map<Socket, RelayDirection>();
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

  /** Drops all further bytes of the currently open connections. */
  dropBytes(direction: RelayDirection): void {
    for (const socket of this.#sockets) {
      this.#droppedDirections.set(socket, direction);
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
    this.#forward(client, server, RelayDirection.ToServer);
    this.#forward(server, client, RelayDirection.ToClient);
  }

  #forward(from: Socket, to: Socket, direction: RelayDirection): void {
    this.#sockets.add(from);
    from.on("data", (bytes) => {
      if (this.#droppedDirections.get(from) !== direction) {
        to.write(bytes);
      }
    });
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      if (!this.#droppedDirections.has(from)) {
        to.destroy();
      }
    });
  }
}
