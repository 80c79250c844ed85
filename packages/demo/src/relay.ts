import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** The direction of data through a relay. */
export enum Direction {
  /** From the connecting client to the target. */
  ToTarget = "to-target",
  FromTarget = "from-target",
}

/** A pair of sockets, and the directions in which data is dropped. */
interface RelayedConnection {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  readonly droppedDirections: Set<Direction>;
}

/** The target of a relay. */
export interface RelayOptions {
  /** Host and port to forward connections to. */
  readonly target: string;
}

/**
 * Forwards TCP connections to a target. Open connections can be made to drop
 * all further data in one direction; new connections are not affected.
 *
 * @example
 * ```ts
 * const relay = new Relay({ target: "127.0.0.1:7500" });
 * const address = await relay.start();
 * relay.dropBytes(Direction.FromTarget);
 * ```
 */
export class Relay {
  readonly #target: string;
  readonly #server: Server;
  readonly #connections = new Set<RelayedConnection>();
  #isDisconnected = false;

  constructor({ target }: RelayOptions) {
    this.#target = target;
    this.#server = createServer((clientSocket) => this.#accept(clientSocket));
  }

  /** Listens on a free port and returns the address. */
  async start(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /**
   * Drops all further data in `direction` on the open connections; returns the
   * number of these connections.
   */
  dropBytes(direction: Direction): number {
    for (const { droppedDirections } of this.#connections) {
      droppedDirections.add(direction);
    }
    return this.#connections.size;
  }

  /** Closes all connections, and new ones at once, until {@link restore}. */
  disconnect(): void {
    this.#isDisconnected = true;
    this.#connections.forEach(destroy);
  }

  /** Accepts connections again. */
  restore(): void {
    this.#isDisconnected = false;
  }

  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.disconnect();
    await closed;
  }

  #accept(clientSocket: Socket): void {
    if (this.#isDisconnected) {
      clientSocket.destroy();
      return;
    }
    const { hostname, port } = new URL(`tcp://${this.#target}`);
    const targetSocket = connect({ host: hostname, port: Number(port) });
    clientSocket.setNoDelay(true);
    targetSocket.setNoDelay(true);
    const connection = {
      clientSocket,
      targetSocket,
      droppedDirections: new Set<Direction>(),
    };
    this.#connections.add(connection);
    this.#forward(connection, Direction.ToTarget);
    this.#forward(connection, Direction.FromTarget);
  }

  #forward(connection: RelayedConnection, direction: Direction): void {
    const { clientSocket, targetSocket, droppedDirections } = connection;
    const isOut = direction === Direction.ToTarget;
    const [from, to] = isOut
      ? [clientSocket, targetSocket]
      : [targetSocket, clientSocket];
    from.on("data", (bytes) => {
      if (!droppedDirections.has(direction) && !to.write(bytes)) {
        from.pause();
        to.once("drain", () => from.resume());
      }
    });
    from.on("end", () => {
      if (!droppedDirections.has(direction)) {
        to.end();
      }
    });
    from.on("error", () => destroy(connection));
    from.on("close", () => {
      this.#connections.delete(connection);
      if (!droppedDirections.has(direction)) {
        to.destroy();
      }
    });
  }
}

function destroy({ clientSocket, targetSocket }: RelayedConnection): void {
  clientSocket.destroy();
  targetSocket.destroy();
}
