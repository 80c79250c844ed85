import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Which way bytes go through a relay. */
export enum Direction {
  /** From the side that connected to the target. */
  ToTarget = "to-target",
  FromTarget = "from-target",
}

/** A pair of sockets and the directions whose bytes are dropped. */
interface RelayedConnection {
  readonly near: Socket;
  readonly far: Socket;
  readonly swallowed: Set<Direction>;
}

/** What a relay stands before. */
export interface RelayOptions {
  /** Host and port that connections are passed on to. */
  readonly target: string;
}

/**
 * Passes TCP connections on to a target. Open ones can be made silent in one
 * direction for good, while new ones work.
 *
 * @example
 * ```ts
 * const relay = new Relay({ target: "127.0.0.1:7500" });
 * const address = await relay.start();
 * relay.swallow(Direction.FromTarget);
 * ```
 */
export class Relay {
  readonly #target: string;
  readonly #server: Server;
  readonly #connections = new Set<RelayedConnection>();
  #isCut = false;

  constructor({ target }: RelayOptions) {
    this.#target = target;
    this.#server = createServer((near) => this.#accept(near));
  }

  /** Listens on a free port and returns the address. */
  async start(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Drops what goes one way on the open connections; returns their number. */
  swallow(direction: Direction): number {
    for (const { swallowed } of this.#connections) {
      swallowed.add(direction);
    }
    return this.#connections.size;
  }

  /** Ends all connections and takes no new one until {@link restore}. */
  cut(): void {
    this.#isCut = true;
    this.#connections.forEach(destroy);
  }

  restore(): void {
    this.#isCut = false;
  }

  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.cut();
    await closed;
  }

  #accept(near: Socket): void {
    if (this.#isCut) {
      near.destroy();
      return;
    }
    const { hostname, port } = new URL(`tcp://${this.#target}`);
    const far = connect({ host: hostname, port: Number(port) });
    near.setNoDelay(true);
    far.setNoDelay(true);
    const connection = { near, far, swallowed: new Set<Direction>() };
    this.#connections.add(connection);
    this.#pass(connection, Direction.ToTarget);
    this.#pass(connection, Direction.FromTarget);
  }

  #pass(connection: RelayedConnection, direction: Direction): void {
    const { near, far, swallowed } = connection;
    const isOut = direction === Direction.ToTarget;
    const [from, to] = isOut ? [near, far] : [far, near];
    from.on("data", (bytes) => {
      if (!swallowed.has(direction) && !to.write(bytes)) {
        from.pause();
        to.once("drain", () => from.resume());
      }
    });
    from.on("end", () => {
      if (!swallowed.has(direction)) {
        to.end();
      }
    });
    from.on("error", () => destroy(connection));
    from.on("close", () => {
      this.#connections.delete(connection);
      if (!swallowed.has(direction)) {
        to.destroy();
      }
    });
  }
}

function destroy({ near, far }: RelayedConnection): void {
  near.destroy();
  far.destroy();
}
