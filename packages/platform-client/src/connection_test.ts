import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { StoreStatus } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  type ConnectionOptions,
  HttpTableStore,
  PlatformConnection,
} from "./mod.ts";

/** For calls that are meant to run into their timeout. */
const SHORT_TIMEOUT_MS = 300;

/** For calls that are meant to be answered, on a busy machine too. */
const GENEROUS_TIMEOUT_MS = 15_000;

const { Ok, Conflict, Unavailable, Unknown } = StoreStatus;
const EMPTY = { checks: [], puts: [], deletes: [] };
const COMMITTED = JSON.stringify({ revision: 3 });

type Respond = (res: ServerResponse, socket: Socket) => void;

interface Setup {
  readonly store: HttpTableStore;
  /** The socket of each call that arrived. */
  readonly sockets: readonly Socket[];
  readonly stopServer: () => Promise<unknown>;
}

async function withServer(
  respond: Respond,
  act: (setup: Setup) => Promise<void>,
  options: Omit<ConnectionOptions, "baseUrl"> = {},
): Promise<void> {
  const sockets: Socket[] = [];
  const server = createServer((req, res) => {
    sockets.push(req.socket);
    req.resume().once("end", () => respond(res, req.socket));
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const store = new HttpTableStore(
    new PlatformConnection({
      baseUrl: `http://127.0.0.1:${port}`,
      timeoutMs: GENEROUS_TIMEOUT_MS,
      ...options,
    }),
  );
  const stopServer = () => {
    server.closeAllConnections();
    return new Promise((resolve) => server.close(resolve));
  };
  try {
    await act({ store, sockets, stopServer });
  } finally {
    await store.close();
    await stopServer();
  }
}

function answer(code: number, body: string): Respond {
  return (res) => res.writeHead(code).end(body);
}

function answerInPart(then: (res: ServerResponse) => void): Respond {
  return (res) => {
    res.writeHead(200, { "content-length": 100 });
    res.write(COMMITTED, () => then(res));
  };
}

interface AnswerCase {
  readonly name: string;
  readonly respond: Respond;
  readonly status: StoreStatus;
  readonly timeoutMs?: number;
}

const NO_KEYS = JSON.stringify({ conflicts: [] });
const TEXT_REVISION = JSON.stringify({ revision: "3" });
const cut = answerInPart((res) => res.destroy());
const stuck = answerInPart(() => {});
const timeoutMs = SHORT_TIMEOUT_MS;

const ANSWER_CASES: readonly AnswerCase[] = [
  { name: "a whole answer", respond: answer(200, COMMITTED), status: Ok },
  { name: "a conflict", respond: answer(409, NO_KEYS), status: Conflict },
  { name: "a bad conflict", respond: answer(409, "{}"), status: Unknown },
  { name: "a refusal", respond: answer(503, ""), status: Unavailable },
  { name: "another code", respond: answer(502, COMMITTED), status: Unknown },
  { name: "a text", respond: answer(200, "{"), status: Unknown },
  { name: "a bad type", respond: answer(200, TEXT_REVISION), status: Unknown },
  { name: "a close", respond: (res) => res.destroy(), status: Unknown },
  { name: "a close in the answer", respond: cut, status: Unknown },
  { name: "half an answer", respond: stuck, status: Unknown, timeoutMs },
];

describe("PlatformConnection", () => {
  for (const { name, respond, status, ...options } of ANSWER_CASES) {
    it(`reads ${name} as ${status} and does not retry`, () =>
      withServer(respond, async ({ store, sockets }) => {
        expect(await store.commit(EMPTY)).to.include({ status });
        expect(sockets).to.have.length(1);
      }, options));
  }

  it("keeps its connection between calls", () =>
    withServer(answer(200, COMMITTED), async ({ store, sockets }) => {
      await store.commit(EMPTY);
      await store.commit(EMPTY);
      expect(sockets).to.have.length(2);
      expect(sockets[0]).to.equal(sockets[1]);
    }, { connections: 1 }));

  it("uses no connection from before a timeout again", () => {
    const old = new Set<Socket>();
    const waiting: ServerResponse[] = [];
    const respond: Respond = (res, socket) => {
      if (waiting.length === 2) {
        return old.has(socket) || res.end(COMMITTED);
      }
      old.add(socket);
      if (waiting.push(res) === 2) {
        waiting.forEach((held) => held.end(COMMITTED));
      }
    };
    return withServer(respond, async ({ store }) => {
      await Promise.all([store.commit(EMPTY), store.commit(EMPTY)]);
      expect(old.size).to.equal(2);
      expect(await store.commit(EMPTY)).to.deep.equal({ status: Unknown });
      expect((await store.commit(EMPTY)).status).to.equal(Ok);
    }, { timeoutMs: SHORT_TIMEOUT_MS, connections: 2 });
  });

  it("says that nothing was sent when no one listens", () =>
    withServer(answer(200, COMMITTED), async ({ store, stopServer }) => {
      await stopServer();
      const result = await store.commit(EMPTY);
      expect(result).to.deep.equal({ status: Unavailable });
    }));

  it("says that nothing was sent after it was closed", () =>
    withServer(answer(200, COMMITTED), async ({ store, sockets }) => {
      await store.close();
      const result = await store.commit(EMPTY);
      expect(result).to.deep.equal({ status: Unavailable });
      expect(sockets).to.have.length(0);
    }));
});
