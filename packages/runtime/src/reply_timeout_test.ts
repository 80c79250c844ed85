import { expect } from "chai";
import { createServer, type Server, type Socket } from "node:net";
import { connect } from "node:net";
import { ReplyTimeout } from "./reply_timeout.ts";

const TIMEOUT_MS = 60;

interface TimeoutCase {
  readonly name: string;
  /** How long this process does nothing else after sending, in ms. */
  readonly busyMs: number;
  /** Whether the other side replies. */
  readonly replies: boolean;
  readonly isTimeout: boolean;
}

const CASES: readonly TimeoutCase[] = [
  { name: "a reply in time", busyMs: 0, replies: true, isTimeout: false },
  { name: "no reply", busyMs: 0, replies: false, isTimeout: true },
  {
    name: "a reply that lies unread while the process is late",
    busyMs: 4 * TIMEOUT_MS,
    replies: true,
    isTimeout: false,
  },
  {
    name: "no reply while the process is late",
    busyMs: 4 * TIMEOUT_MS,
    replies: false,
    isTimeout: true,
  },
];

/** Listens on a free port; replies to each message if `replies`. */
function listen(replies: boolean): Promise<Server> {
  const server = createServer((socket: Socket) => {
    socket.on("error", () => {});
    socket.on("data", () => {
      if (replies) {
        socket.write("reply");
      }
    });
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function portOf(server: Server): number {
  const address = server.address();
  return typeof address === "object" ? address?.port ?? 0 : 0;
}

function stayBusy(forMs: number): void {
  const end = performance.now() + forMs;
  while (performance.now() < end) {
    // Stands for work that holds up the event loop.
  }
}

describe("timeout of a reply", () => {
  for (const { name, busyMs, replies, isTimeout } of CASES) {
    it(`${isTimeout ? "fires" : "doesn't fire"} with ${name}`, async () => {
      const server = await listen(replies);
      const socket = connect(portOf(server), "127.0.0.1");
      await new Promise((resolve) => socket.once("connect", resolve));
      const outcome = await new Promise<string>((resolve) => {
        const timeout = new ReplyTimeout({
          timeoutMs: TIMEOUT_MS,
          onTimeout: () => resolve("timeout"),
        });
        socket.once("data", () => {
          timeout.clear();
          resolve("reply");
        });
        socket.write("request", () => stayBusy(busyMs));
      });
      socket.destroy();
      await new Promise((resolve) => server.close(resolve));
      expect(outcome).to.equal(isTimeout ? "timeout" : "reply");
    });
  }
});
