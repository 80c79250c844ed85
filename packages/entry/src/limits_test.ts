import { connect } from "node:net";
import { expect } from "chai";
import { CallerFront } from "./mod.ts";

/** Input to an entry with low limits of connections and time. */
interface LimitCase {
  readonly name: string;
  /** Bytes sent on one connection. */
  readonly text: string;
  /** Number of connections that are opened before and kept open. */
  readonly held?: number;
  /**
   * Maximum time for a whole request, in milliseconds; 100 by default. Half of it
   * is for the headers.
   */
  readonly requestTimeoutMs?: number;
  readonly reply: RegExp;
}

const MAX_CONNECTIONS = 3;

function chunkedJob(bytes: number): string {
  return "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
    `Transfer-Encoding: chunked\r\n\r\n${bytes.toString(16)}\r\n` +
    `${"x".repeat(bytes)}\r\n0\r\n\r\n`;
}

const LIMIT_CASES: readonly LimitCase[] = [
  {
    name: "headers that are too large",
    text: `GET /healthz HTTP/1.1\r\nHost: a\r\nX: ${
      "x".repeat(17_000)
    }\r\n\r\n`,
    reply: /^HTTP\/1.1 431 /,
  },
  {
    name: "headers that never end",
    text: "GET /healthz HTTP/1.1\r\nHost: a\r\n",
    reply: /^HTTP\/1.1 408 /,
  },
  {
    name: "a body that never ends",
    text: "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{",
    reply: /^HTTP\/1.1 408 /,
  },
  {
    name: "a body with two lengths",
    text:
      "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
    reply: /^HTTP\/1.1 400 /,
  },
  {
    name: "a body in chunks beyond the limit of its route",
    text: chunkedJob(1_100_000),
    reply: /^HTTP\/1.1 413 [^]*body-too-large/,
  },
  {
    name: "a body in chunks beyond the limit of all routes",
    text: chunkedJob(17_000_000),
    // On a busy machine it takes longer than 100 ms to send, which is status 408.
    requestTimeoutMs: 10_000,
    reply: /^HTTP\/1.1 413 [^]*body-too-large/,
  },
  {
    name: "bytes that are not HTTP",
    text: "\u0016\u0003\u0001 hello\r\n\r\n",
    reply: /^HTTP\/1.1 400 /,
  },
  {
    name: "a connection over the limit",
    text: "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
    held: MAX_CONNECTIONS,
    reply: /^$/,
  },
];

describe("Limits of the caller front", () => {
  let front: CallerFront;

  async function start(requestTimeoutMs: number): Promise<void> {
    front = new CallerFront({
      listen: { host: "127.0.0.1", port: 0 },
      isReady: () => true,
      limits: {
        headersTimeoutMs: requestTimeoutMs / 2,
        requestTimeoutMs,
        maxConnections: MAX_CONNECTIONS,
      },
    });
    await front.start({ post: () => {} });
  }

  afterEach(() => front.close());

  function open(): Promise<ReturnType<typeof connect>> {
    return new Promise((resolve) => {
      const socket = connect(front.port, "127.0.0.1", () => resolve(socket));
      socket.on("error", () => {});
    });
  }

  /** Sends bytes and returns everything received until the socket closes. */
  async function exchange(text: string): Promise<string> {
    // Encoding 17 MB after the connection is open would use up the time for
    // headers, as the front runs on the same thread.
    const bytes = Buffer.from(text);
    const socket = await open();
    const chunks: Buffer[] = [];
    socket.on("data", (chunk) => chunks.push(chunk));
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write(bytes);
    await closed;
    return Buffer.concat(chunks).toString();
  }

  for (const limitCase of LIMIT_CASES) {
    const { name, text, held = 0, requestTimeoutMs = 100, reply } = limitCase;
    it(`refuses ${name} and still serves others`, async () => {
      await start(requestTimeoutMs);
      const sockets = await Promise.all(Array.from({ length: held }, open));
      expect(await exchange(text)).to.match(reply);
      sockets.forEach((socket) => socket.destroy());
      await Promise.all(
        sockets.map((socket) =>
          new Promise((resolve) => socket.once("close", resolve))
        ),
      );
      const res = await fetch(`http://127.0.0.1:${front.port}/healthz`);
      expect(res.status).to.equal(200);
    });
  }
});
