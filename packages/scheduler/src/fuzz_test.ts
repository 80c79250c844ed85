import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import {
  HttpInstanceList,
  HttpObjectStore,
  HttpTableStore,
  PlatformConnection,
} from "@mustardweir/platform-client";
import {
  StoreStatus,
  type SyncCall,
  SyncResultKind,
} from "@mustardweir/protocol";
import { HttpTargetClient } from "@mustardweir/target-client";
import { expect } from "chai";
import fc from "fast-check";

const SEED = 20_261;
const RUNS = 150;
const TIMEOUT_MS = 2_000;

const CALL: SyncCall = {
  fleetEpoch: 1,
  acks: [],
  starts: [],
  stops: [],
} as unknown as SyncCall;

/** Responses of a platform or worker that violate the protocol. */
const answer = fc.record({
  status: fc.constantFrom(200, 200, 200, 201, 204, 302, 404, 409, 500, 503),
  body: fc.oneof(
    fc.string({ unit: "binary" }),
    fc.json({ maxDepth: 4 }),
    fc.constant("[".repeat(20_000)),
    fc.constant('{"__proto__":{"polluted":true}}'),
    fc.record({
      kind: fc.constantFrom("synced", "fenced", "no-answer", 3),
      rows: fc.array(fc.object({ maxDepth: 1 }), { maxLength: 3 }),
      revision: fc.oneof(fc.double(), fc.string()),
      epoch: fc.oneof(fc.integer(), fc.constant(null)),
      instances: fc.array(fc.anything(), { maxLength: 2 }),
    }).map((body) => JSON.stringify(body)),
  ),
});

type Answer = typeof answer extends fc.Arbitrary<infer Value> ? Value : never;

const STORE_STATUSES: readonly string[] = Object.values(StoreStatus);
const SYNC_KINDS: readonly string[] = Object.values(SyncResultKind);

interface HostileCase {
  readonly name: string;
  /**
   * Makes a call to `origin`; resolves to whether its result is a valid one.
   */
  readonly call: (origin: string) => Promise<boolean>;
}

/** Makes a call to the platform over a new connection. */
async function withPlatform(
  origin: string,
  call: (connection: PlatformConnection) => Promise<{ status: string }>,
): Promise<boolean> {
  const connection = new PlatformConnection({
    baseUrl: origin,
    timeoutMs: TIMEOUT_MS,
  });
  const { status } = await call(connection);
  await connection.close();
  return STORE_STATUSES.includes(status);
}

const HOSTILE_CASES: readonly HostileCase[] = [
  {
    name: "a scan of the table",
    call: (origin) =>
      withPlatform(
        origin,
        (connection) =>
          new HttpTableStore(connection).scan({ prefix: "owner/" }),
      ),
  },
  {
    name: "a commit",
    call: (origin) =>
      withPlatform(
        origin,
        (connection) =>
          new HttpTableStore(connection).commit(
            { checks: [], puts: [] } as never,
          ),
      ),
  },
  {
    name: "an object",
    call: (origin) =>
      withPlatform(
        origin,
        (connection) => new HttpObjectStore(connection).get("a/b"),
      ),
  },
  {
    name: "the list of instances",
    call: (origin) =>
      withPlatform(
        origin,
        (connection) => new HttpInstanceList(connection).list(),
      ),
  },
  {
    name: "a worker's answer",
    call: async (origin) => {
      const client = new HttpTargetClient();
      const { kind } = await client.sync(origin, CALL, TIMEOUT_MS);
      await client.close();
      return SYNC_KINDS.includes(kind);
    },
  },
];

describe("Malformed responses to a scheduler", () => {
  let server: Server;
  let next: Answer;

  before(async () => {
    server = createServer((req, res) => {
      req.resume();
      res.writeHead(next.status).end(next.body);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  for (const { name, call } of HOSTILE_CASES) {
    it(`become results and never throw: ${name}`, async () => {
      const { port } = server.address() as AddressInfo;
      await fc.assert(
        fc.asyncProperty(answer, async (hostile) => {
          next = hostile;
          expect(await call(`http://127.0.0.1:${port}`)).to.equal(true);
        }),
        { seed: SEED, numRuns: RUNS },
      );
      expect(({} as { polluted?: boolean }).polluted).to.equal(undefined);
    });
  }
});
