import {
  FAULT_SETTINGS,
  type FaultSettings,
  PlatformServer,
} from "@mustardweir/platform-stub";
import { StoreStatus, type Transaction } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  HttpInstanceList,
  HttpObjectStore,
  HttpTableStore,
  PlatformConnection,
} from "./mod.ts";

/** For calls that are expected to time out. */
const SHORT_TIMEOUT_MS = 300;

/** For calls that are expected to get a response, on a busy machine too. */
const GENEROUS_TIMEOUT_MS = 15_000;

/** Longer than any test runs. */
const NEVER_MS = 600_000;

const { Ok, Conflict, NotFound, Unavailable, Unknown } = StoreStatus;

class Stores {
  readonly table: HttpTableStore;
  readonly objects: HttpObjectStore;
  readonly instances: HttpInstanceList;

  constructor(baseUrl: string, timeoutMs = GENEROUS_TIMEOUT_MS) {
    const connection = new PlatformConnection({ baseUrl, timeoutMs });
    this.table = new HttpTableStore(connection);
    this.objects = new HttpObjectStore(connection);
    this.instances = new HttpInstanceList(connection);
  }
}

type Act = (
  stores: Stores,
  context: { readonly server: PlatformServer; readonly baseUrl: string },
) => Promise<void>;

async function withStores(act: Act, timeoutMs?: number): Promise<void> {
  const server = new PlatformServer({ listLagMs: 0 });
  const baseUrl = await server.listen();
  const stores = new Stores(baseUrl, timeoutMs);
  try {
    await act(stores, { server, baseUrl });
  } finally {
    await stores.table.close();
    await server.close();
  }
}

function putRow(key: string, version?: number): Transaction {
  const checks = version === undefined ? [] : [{ key, version }];
  return { checks, puts: [{ key, value: "1" }], deletes: [] };
}

interface CallCase {
  readonly name: string;
  readonly act: (stores: Stores) => Promise<unknown>;
  readonly expected: unknown;
}

const CALL_CASES: readonly CallCase[] = [
  {
    name: "commits",
    act: ({ table }) => table.commit(putRow("a", 0)),
    expected: { status: Ok, revision: 1 },
  },
  {
    name: "returns a conflict",
    act: ({ table }) => table.commit(putRow("a", 7)),
    expected: { status: Conflict },
  },
  {
    name: "scans a prefix with characters that are special in URLs",
    act: async ({ table }) => {
      await table.commit(putRow("b"));
      await table.commit(putRow("ä&=/?#%"));
      return table.scan({ prefix: "ä&=/?#%" });
    },
    expected: {
      status: Ok,
      page: {
        rows: [{ key: "ä&=/?#%", value: "1", version: 1 }],
        deleted: [],
        revision: 2,
      },
    },
  },
  {
    name: "scans changes and deletions after a revision",
    act: async ({ table }) => {
      await table.commit(putRow("a"));
      await table.commit({ checks: [], puts: [], deletes: ["a"] });
      return table.scan({ afterRevision: 1 });
    },
    expected: { status: Ok, page: { rows: [], deleted: ["a"], revision: 2 } },
  },
  {
    name: "reads an object whose key has special characters",
    act: async ({ objects }) => {
      await objects.put("a/../%2F?#ä b", "bödy\n");
      await objects.put("b", "other");
      return objects.get("a/../%2F?#ä b");
    },
    expected: { status: Ok, body: "bödy\n" },
  },
  {
    name: "reads an empty object",
    act: async ({ objects }) => {
      await objects.put("a", "");
      return objects.get("a");
    },
    expected: { status: Ok, body: "" },
  },
  {
    name: "returns not-found for a missing object",
    act: ({ objects }) => objects.get("a"),
    expected: { status: NotFound },
  },
  {
    name: "returns an empty list of instances",
    act: ({ instances }) => instances.list(),
    expected: { status: Ok, instances: [] },
  },
];

interface FaultCase {
  readonly faults: Partial<FaultSettings>;
  /** `GENEROUS_TIMEOUT_MS` by default. */
  readonly timeoutMs?: number;
  readonly write: StoreStatus;
  readonly read: StoreStatus;
  /** Whether the write takes effect; false by default. */
  readonly applied?: boolean;
}

const timedOut = {
  timeoutMs: SHORT_TIMEOUT_MS,
  write: Unknown,
  read: Unknown,
};
const refused = { write: Unavailable, read: Unavailable };
const lost = { write: Unknown, read: Ok };

const FAULT_CASES: readonly FaultCase[] = [
  { faults: { slowMs: 1 }, write: Ok, read: Ok, applied: true },
  { faults: { slowMs: NEVER_MS }, ...timedOut, applied: true },
  { faults: { down: true }, ...refused },
  { faults: { silent: true }, ...timedOut },
  { faults: { down: true, silent: true }, ...timedOut },
  { faults: { loseAnswers: 1 }, ...lost, applied: true },
  { faults: { lateWrites: 1, lateMs: 50 }, ...lost, applied: true },
  { faults: { lateWrites: 1, lateMs: NEVER_MS }, ...lost },
];

async function hasRow({ table }: Stores): Promise<boolean> {
  const result = await table.scan({ prefix: "a" });
  return result.status === Ok && result.page.rows.length === 1;
}

async function waitForRow(stores: Stores): Promise<void> {
  while (!await hasRow(stores)) {
    await new Promise(setImmediate);
  }
}

describe("stores over HTTP", () => {
  for (const { name, act, expected } of CALL_CASES) {
    it(name, () =>
      withStores(async (stores) => {
        expect(await act(stores)).to.deep.equal(expected);
      }));
  }

  for (const { faults, timeoutMs, applied = false, ...seen } of FAULT_CASES) {
    it(`returns the write's and the read's status under ${JSON.stringify(faults)}`, () =>
      withStores(async (stores, { server: { platform }, baseUrl }) => {
        platform.setFaults(FAULT_SETTINGS.parse(faults));
        const write = (await stores.table.commit(putRow("a"))).status;
        const read = (await stores.instances.list()).status;
        expect({ write, read }).to.deep.equal(seen);
        platform.setFaults(FAULT_SETTINGS.parse({}));
        const reliable = new Stores(baseUrl);
        if (applied) {
          await waitForRow(reliable);
        }
        expect(await hasRow(reliable)).to.equal(applied);
        await reliable.table.close();
      }, timeoutMs));
  }

  it("loses the same responses with the same seed", async () => {
    const runs: StoreStatus[][] = [[], []];
    for (const run of runs) {
      await withStores(async ({ objects }, { server: { platform } }) => {
        platform.setFaults(FAULT_SETTINGS.parse({ loseAnswers: 0.5 }));
        for (let i = 0; i < 20; i++) {
          run.push((await objects.put(`${i}`, "")).status);
        }
      });
    }
    expect(runs[0]).to.include.members([Ok, Unknown]);
    expect(runs[0]).to.deep.equal(runs[1]);
  });
});
