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

/** For calls that are expected to time out. */
const SHORT_TIMEOUT_MS = 300;

/** For calls that are expected to get a response, on a busy machine too. */
const GENEROUS_TIMEOUT_MS = 15_000;

const { Ok, Conflict, Unavailable, Unknown } = StoreStatus;
const EMPTY = { checks: [], puts: [], deletes: [] };
const COMMITTED = JSON.stringify({ revision: 3 });

type Respond = (res: ServerResponse, socket: Socket) => void;

interface Setup {
  readonly store: HttpTableStore;
  /** The sockets of the received requests, in order. */
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

function respondWith(code: number, body: string): Respond {
  return (res) => res.writeHead(code).end(body);
}

function respondInPart(then: (res: ServerResponse) => void): Respond {
  return (res) => {
    res.writeHead(200, { "content-length": 100 });
    res.write(COMMITTED, () => then(res));
  };
}

interface ResponseCase {
  readonly name: string;
  readonly respond: Respond;
  readonly status: StoreStatus;
  readonly timeoutMs?: number;
}

const NO_KEYS = JSON.stringify({ conflicts: [] });
const TEXT_REVISION = JSON.stringify({ revision: "3" });
const cut = respondInPart((res) => res.destroy());
const stuck = respondInPart(() => {});
const timeoutMs = SHORT_TIMEOUT_MS;

const RESPONSE_CASES: readonly ResponseCase[] = [
  {
    name: "a complete response",
    respond: respondWith(200, COMMITTED),
    status: Ok,
  },
  { name: "a conflict", respond: respondWith(409, NO_KEYS), status: Conflict },
  {
    name: "a malformed conflict",
    respond: respondWith(409, "{}"),
    status: Unknown,
  },
  { name: "a refusal", respond: respondWith(503, ""), status: Unavailable },
  {
    name: "another status code",
    respond: respondWith(502, COMMITTED),
    status: Unknown,
  },
  { name: "invalid JSON", respond: respondWith(200, "{"), status: Unknown },
  {
    name: "a field of the wrong type",
    respond: respondWith(200, TEXT_REVISION),
    status: Unknown,
  },
  {
    name: "a closed connection",
    respond: (res) => res.destroy(),
    status: Unknown,
  },
  {
    name: "a connection closed during the response",
    respond: cut,
    status: Unknown,
  },
  {
    name: "a response that stalls",
    respond: stuck,
    status: Unknown,
    timeoutMs,
  },
];

describe("PlatformConnection", () => {
  for (const { name, respond, status, ...options } of RESPONSE_CASES) {
    it(`reports ${name} as ${status} and does not retry`, () =>
      withServer(respond, async ({ store, sockets }) => {
        expect(await store.commit(EMPTY)).to.include({ status });
        expect(sockets).to.have.length(1);
      }, options));
  }

  it("reuses its connection for the next call", () =>
    withServer(respondWith(200, COMMITTED), async ({ store, sockets }) => {
      await store.commit(EMPTY);
      await store.commit(EMPTY);
      expect(sockets).to.have.length(2);
      expect(sockets[0]).to.equal(sockets[1]);
    }, { connections: 1 }));

  it("does not reuse connections that were open at a timeout", () => {
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

  it("reports that nothing was sent when the port is closed", () =>
    withServer(respondWith(200, COMMITTED), async ({ store, stopServer }) => {
      await stopServer();
      const result = await store.commit(EMPTY);
      expect(result).to.deep.equal({ status: Unavailable });
    }));

  it("reports that nothing was sent after it was closed", () =>
    withServer(respondWith(200, COMMITTED), async ({ store, sockets }) => {
      await store.close();
      const result = await store.commit(EMPTY);
      expect(result).to.deep.equal({ status: Unavailable });
      expect(sockets).to.have.length(0);
    }));
});
