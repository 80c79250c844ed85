import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import {
  setImmediate as nextTurn,
  setTimeout as delay,
} from "node:timers/promises";
import { expect } from "chai";
import { type HttpLimits, limitOptions, limitServer } from "./http_limits.ts";

const IDLE_MS = 100;
const HEADERS_MS = 300;
/** Longer than the idle timeout and Node's allowance beyond it, in ms. */
const PAUSE_MS = 1_500;
const REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

/** A client with one connection, on which it counts the responses. */
class RawClient {
  responses = 0;
  received = "";
  isClosed = false;
  readonly #socket: Socket;
  #onChange = () => {};

  constructor(port: number) {
    this.#socket = connect(port, "127.0.0.1");
    this.#socket.on("data", (data) => {
      this.received += data.toString();
      this.responses += data.toString().split("HTTP/1.1 200").length - 1;
      this.#onChange();
    });
    this.#socket.on("error", () => {});
    this.#socket.on("close", () => {
      this.isClosed = true;
      this.#onChange();
    });
  }

  send(): void {
    this.#socket.write(REQUEST);
  }

  /** Waits until there are `count` responses or the connection is closed. */
  async receive(count: number): Promise<void> {
    while (this.responses < count && !this.isClosed) {
      await new Promise<void>((resolve) => this.#onChange = resolve);
    }
  }

  async closed(): Promise<void> {
    while (!this.isClosed) {
      await new Promise<void>((resolve) => this.#onChange = resolve);
    }
  }
}

/** Blocks the event loop, as a suspended process does. */
function pause(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

interface IdleCase {
  readonly name: string;
  /** Time that the server takes for a response, in milliseconds. */
  readonly responseMs: number;
  readonly limits?: HttpLimits;
  readonly act: (client: RawClient) => Promise<void>;
  readonly responses: number;
}

const CASES: readonly IdleCase[] = [
  {
    name: "answers a request that arrived during a pause past the timeout",
    responseMs: 0,
    act: async (client) => {
      client.send();
      await client.receive(1);
      await delay(IDLE_MS / 2);
      // Timers run first in the turn of the loop after this one.
      await nextTurn();
      client.send();
      pause(PAUSE_MS);
      await client.receive(2);
    },
    responses: 2,
  },
  {
    name: "answers a request that takes longer than the timeout",
    responseMs: 3 * IDLE_MS,
    act: async (client) => {
      client.send();
      await client.receive(1);
    },
    responses: 1,
  },
  {
    name:
      "answers the first request if it arrived during a pause past the time for headers",
    responseMs: 0,
    limits: { headersTimeoutMs: HEADERS_MS },
    act: async (client) => {
      await delay(HEADERS_MS / 2);
      // Timers run first in the turn of the loop after this one.
      await nextTurn();
      client.send();
      pause(PAUSE_MS);
      await client.receive(1);
    },
    responses: 1,
  },
  {
    name: "closes a connection that stays idle",
    responseMs: 0,
    act: async (client) => {
      client.send();
      await client.closed();
    },
    responses: 1,
  },
];

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return (server.address() as AddressInfo).port;
}

describe("a server that closes idle connections", () => {
  for (
    const {
      name,
      responseMs,
      limits = { idleTimeoutMs: IDLE_MS },
      act,
      responses,
    } of CASES
  ) {
    it(name, async () => {
      const server = createServer(
        limitOptions(limits),
        (_req, res) => setTimeout(() => res.end(), responseMs),
      );
      limitServer(server, limits);
      const client = new RawClient(await listen(server));
      try {
        await act(client);
        expect(client.responses).to.equal(responses);
      } finally {
        server.closeAllConnections();
        server.close();
      }
    });
  }

  it("tells clients how long they may keep a connection", async () => {
    const server = createServer(limitOptions(), (_req, res) => res.end());
    limitServer(server);
    const client = new RawClient(await listen(server));
    try {
      client.send();
      await client.receive(1);
      expect(client.received.toLowerCase()).to.include(
        "keep-alive: timeout=65",
      );
    } finally {
      server.closeAllConnections();
      server.close();
    }
  });
});
