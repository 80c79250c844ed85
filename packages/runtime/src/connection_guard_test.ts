import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { callerLimits } from "./client_limits.ts";
import { ConnectionGuard } from "./connection_guard.ts";
import type { ClientLimits } from "./connection_policy.ts";
import { limitOptions, limitServer } from "./http_limits.ts";
import { Metrics } from "./metrics.ts";

const HOST = "Host: a.example\r\n";
const CALL = `GET /1 HTTP/1.1\r\n${HOST}\r\n`;
const MAX_BODY_BYTES = 262_144;
const CHUNKED = `POST /1 HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\n`;

function post(body: string): string {
  return `POST /1 HTTP/1.1\r\n${HOST}Content-Length: ${body.length}\r\n\r\n` +
    body;
}

function chunks(count: number, bytes: number): string {
  return `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`.repeat(count);
}

/** A server behind a guard that notes the calls that were passed on. */
class GuardedServer {
  readonly metrics = new Metrics();
  readonly guard: ConnectionGuard;
  /** Sizes of the bodies that were passed on. */
  readonly passedOn: number[] = [];
  mostOpen = 0;
  readonly #server: Server;

  constructor(limits: Partial<ClientLimits>, answerMs: number) {
    this.guard = new ConnectionGuard({
      listener: "test",
      limits: { ...callerLimits({}), ...limits },
      metrics: this.metrics,
    });
    this.#server = createServer(limitOptions(), (req, res) => {
      const { guard } = this;
      if (guard.isEnding(req) || guard.rejectWithoutHost(req, res)) {
        return;
      }
      this.mostOpen = Math.max(this.mostOpen, guard.openCalls);
      guard.readBody(req, res, {
        maxBytes: MAX_BODY_BYTES,
        onEnd: (body) => {
          this.passedOn.push(body.bytes);
          setTimeout(() => res.end("ok"), answerMs);
        },
        onTooLarge: () => {
          res.writeHead(413, { connection: "close" });
          res.end();
          guard.stopReading(req);
        },
      });
    });
    limitServer(this.#server);
    this.guard.protect(this.#server);
  }

  async start(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    return (this.#server.address() as AddressInfo).port;
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

interface GuardCase {
  readonly name: string;
  readonly limits?: Partial<ClientLimits>;
  readonly answerMs?: number;
  /** What each client sends, part by part. */
  readonly clients: readonly (readonly string[])[];
  /** Statuses of the responses, by client. */
  readonly statuses: readonly (readonly number[])[];
  /** Sizes of the bodies of the calls that were passed on. */
  readonly passedOn: readonly number[];
  readonly rejections?: Readonly<Record<string, number>>;
  /** Most calls that were open at any time. */
  readonly mostOpen?: number;
}

const ok = (count: number) => Array<number>(count).fill(200);
const none = (count: number) => Array<number>(count).fill(0);

const CASES: readonly GuardCase[] = [
  {
    name: "serves a call in pieces",
    clients: [[CALL.slice(0, 9), CALL.slice(9, 30), CALL.slice(30)]],
    statuses: [ok(1)],
    passedOn: [0],
  },
  {
    name: "serves the largest body, with and without chunks",
    clients: [
      [post("x".repeat(MAX_BODY_BYTES))],
      [CHUNKED, chunks(4, 65_536), "0\r\n\r\n"],
    ],
    statuses: [ok(1), ok(1)],
    passedOn: [MAX_BODY_BYTES, MAX_BODY_BYTES],
  },
  {
    name: "serves a body in chunks of one byte",
    clients: [[CHUNKED, chunks(20_000, 1), "0\r\n\r\n"]],
    statuses: [ok(1)],
    passedOn: [20_000],
  },
  {
    name: "rejects a body that is too large, and passes it on to nobody",
    clients: [[CHUNKED, chunks(5, 65_536)]],
    statuses: [[413]],
    passedOn: [],
  },
  {
    name: "serves all pipelined calls in order, few at a time",
    limits: { maxCallsPerConnection: 8, sliceBytes: 64 },
    answerMs: 1,
    clients: [[CALL.repeat(300)]],
    statuses: [ok(300)],
    passedOn: none(300),
    mostOpen: 10,
  },
  {
    name: "serves pipelined calls with bodies over several slices",
    limits: { maxCallsPerConnection: 1, sliceBytes: 64 },
    answerMs: 1,
    clients: [[post("x".repeat(500)).repeat(20)]],
    statuses: [ok(20)],
    passedOn: Array<number>(20).fill(500),
    // The end of a body is parsed with at most 128 bytes of what follows.
    mostOpen: 2,
  },
  {
    name: "serves all connections while all calls are in use",
    limits: { maxCalls: 2, sliceBytes: 64 },
    answerMs: 1,
    clients: Array<string[]>(5).fill([CALL.repeat(20)]),
    statuses: Array<number[]>(5).fill(ok(20)),
    passedOn: none(100),
    mostOpen: 4,
  },
  {
    name: "serves bodies over several slices while all calls are in use",
    limits: { maxCalls: 1, sliceBytes: 64 },
    answerMs: 1,
    clients: Array<string[]>(4).fill([
      post("x".repeat(300)).repeat(5),
      CHUNKED + chunks(30, 10) + "0\r\n\r\n",
    ]),
    statuses: Array<number[]>(4).fill(ok(6)),
    passedOn: Array<number>(24).fill(300),
  },
  {
    name: "serves calls beyond the rate later",
    limits: { maxCallsPerInterval: 5, sliceBytes: 64 },
    clients: [[CALL.repeat(30)]],
    statuses: [ok(30)],
    passedOn: none(30),
  },
  {
    name: "rejects the body that has held the most when the budget is short",
    limits: { maxBytes: 300_000 },
    clients: [[CHUNKED, chunks(17, 6_000)], [post("x".repeat(60_000))]],
    statuses: [[503], ok(1)],
    passedOn: [60_000],
    rejections: { bytes: 1 },
  },
  {
    name: "answers a call that was passed on before it rejects the next",
    limits: { maxBytes: 50_000 },
    answerMs: 100,
    clients: [[post("first"), CHUNKED + chunks(20, 6_000)]],
    statuses: [[200, 503]],
    passedOn: [5],
    rejections: { bytes: 1 },
  },
  {
    name: "rejects a body without progress",
    limits: { bodyStallMs: 500 },
    clients: [[CHUNKED, chunks(3, 10)]],
    statuses: [[408]],
    passedOn: [],
    rejections: { stalled: 1 },
  },
  {
    name: "rejects calls without a host, and answers those before",
    clients: [[CALL, "GET /1 HTTP/1.1\r\n\r\n".repeat(100)]],
    statuses: [[200, 400]],
    passedOn: [0],
    rejections: { "no-host": 1 },
  },
  {
    name: "replaces the oldest connection without a call",
    limits: { maxConnections: 2 },
    clients: [["GET /1 HT"], ["GET /1 HT"], [CALL]],
    statuses: [[], [], ok(1)],
    passedOn: [0],
    rejections: { connections: 1 },
  },
];

class Client {
  received = "";
  readonly #socket: Socket;

  constructor(port: number) {
    this.#socket = connect(port, "127.0.0.1");
    this.#socket.setNoDelay(true);
    this.#socket.on("data", (data) => this.received += data.toString());
    this.#socket.on("error", () => {});
  }

  get statuses(): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)]
      .map(([, status]) => Number(status));
  }

  async send(parts: readonly string[]): Promise<void> {
    for (const part of parts) {
      this.#socket.write(part);
      await delay(10);
    }
  }

  close(): void {
    this.#socket.destroy();
  }
}

describe("a connection guard", function () {
  this.timeout(10_000);

  for (const { name, limits = {}, answerMs = 0, ...expected } of CASES) {
    it(name, async () => {
      const server = new GuardedServer(limits, answerMs);
      const port = await server.start();
      const clients: Client[] = [];
      try {
        for (const parts of expected.clients) {
          const client = new Client(port);
          clients.push(client);
          await client.send(parts);
        }
        const statuses = () => clients.map((client) => client.statuses);
        const isDone = () =>
          statuses().every((received, index) =>
            received.length >= expected.statuses[index]!.length
          );
        const endMs = performance.now() + 5_000;
        while (!isDone() && performance.now() < endMs) {
          await delay(10);
        }
        await delay(30);
        expect(statuses()).to.deep.equal(expected.statuses);
        expect(server.passedOn).to.deep.equal(expected.passedOn);
        const rejections = Object.fromEntries(
          Object.entries(server.metrics.countersWith("clients-rejected-"))
            .map(([counter, count]) => [counter.split("-test-")[1], count]),
        );
        expect(rejections).to.deep.equal(expected.rejections ?? {});
        expect(server.mostOpen).to.be.at.most(expected.mostOpen ?? Infinity);
      } finally {
        clients.forEach((client) => client.close());
      }
      await delay(50);
      // Whatever happened, nothing is counted for clients that have left.
      expect([server.guard.heldBytes, server.guard.openCalls])
        .to.deep.equal([0, 0]);
      server.close();
    });
  }
});
