import { Role } from "@mustardweir/kernel";
import { ALL_PEERS, EffectKind } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createRange,
  RelayDirection,
  TcpRelay,
  TestNode,
  type TestNodeOptions,
  waitUntil,
} from "./test_nodes.ts";

/** Starts nodes and relays, and closes them after the test case. */
class TestHarness {
  readonly #closers: (() => unknown)[] = [];

  async node(options: TestNodeOptions): Promise<TestNode> {
    const node = new TestNode(options);
    await node.links.start(node);
    this.#closers.push(() => node.links.close());
    return node;
  }

  async schedulers(): Promise<[TestNode, TestNode, TestNode]> {
    return [
      await this.node({ nodeId: "a" }),
      await this.node({ nodeId: "b" }),
      await this.node({ nodeId: "c" }),
    ];
  }

  async relay(to: TestNode): Promise<{ relay: TcpRelay; port: number }> {
    const relay = new TcpRelay(to.links.port);
    this.#closers.push(() => relay.close());
    return { relay, port: await relay.listen() };
  }

  async close(): Promise<void> {
    for (const close of this.#closers.reverse()) {
      await close();
    }
  }
}

/** Addresses that another writer may have put into the list of the nodes. */
const ODD_ADDRESSES = [
  "127.0.0.1:0",
  "127.0.0.1:65536",
  "127.0.0.1:99999",
  "a/b:80",
  "h\u0000:80",
  "h%:80",
  "no port",
  "",
];
const ODD_DIALS_MS = 150;

interface LinkCase {
  readonly name: string;
  readonly run: (harness: TestHarness) => Promise<void>;
}

const LINK_CASES: readonly LinkCase[] = [
  {
    name: "sends messages both ways over the link that the lower id dialled",
    run: async (harness) => {
      const [a, b] = await harness.schedulers();
      a.connect([b]);
      b.connect([a]);
      a.send("b", [1]);
      await waitUntil("b has it", () => b.received.length === 1);
      b.send("a", [2]);
      await waitUntil("a has it", () => a.received.length === 1);
      expect(b.received[0]?.from).to.equal("a");
      expect(a.receivedNumbers).to.deep.equal([2]);
      expect(b.metrics.counter("links-opened")).to.equal(1);
    },
  },
  {
    name: "sends messages by id to entries, which only dial",
    run: async (harness) => {
      const entry = await harness.node({ nodeId: "e", role: Role.Entry });
      const [a, b] = await harness.schedulers();
      entry.connect([a, b]);
      a.send("e", [1]);
      b.send("e", [2]);
      await waitUntil("both arrived", () => entry.received.length === 2);
      expect(entry.links.livePeers).to.have.members(["a", "b"]);
    },
  },
  {
    name: "sends a message for all peers to each node with a live link",
    run: async (harness) => {
      const entry = await harness.node({ nodeId: "e", role: Role.Entry });
      const [a, b] = await harness.schedulers();
      entry.connect([a]);
      a.connect([b]);
      await waitUntil("linked", () => a.links.livePeers.length === 2);
      a.send(ALL_PEERS, [1]);
      await waitUntil("e has it", () => entry.received.length === 1);
      await waitUntil("b has it", () => b.received.length === 1);
      expect(a.received).to.deep.equal([]);
    },
  },
  {
    name: "dials from the higher id if the lower id does not dial",
    run: async (harness) => {
      const [a, b] = await harness.schedulers();
      b.connect([a]);
      await waitUntil("linked", () => a.links.livePeers.includes("b"));
      a.send("b", [1]);
      await waitUntil("b has it", () => b.received.length === 1);
    },
  },
  {
    name: "sends a batch in order and in few frames",
    run: async (harness) => {
      const [a, b] = await harness.schedulers();
      a.connect([b]);
      a.send("b", [1, 5_000]);
      await waitUntil("all arrived", () => b.received.length === 5_000);
      expect(b.receivedNumbers).to.deep.equal(createRange(1, 5_000));
      expect(a.metrics.counter("link-frames-sent")).to.be.below(50);
    },
  },
  {
    name: "reconnects to a restarted peer",
    run: async (harness) => {
      const [a, b] = await harness.schedulers();
      a.connect([b]);
      await waitUntil("linked", () => a.links.livePeers.includes("b"));
      await b.links.close();
      await waitUntil("disconnected", () => a.links.livePeers.length === 0);
      const port = b.links.port;
      const restarted = await harness.node({
        nodeId: "b",
        incarnation: "2",
        port,
      });
      await waitUntil("linked", () => a.links.livePeers.includes("b"));
      a.send("b", [7]);
      await waitUntil(
        "the restarted b has it",
        () => restarted.received.length === 1,
      );
    },
  },
  ...Object.values(RelayDirection).map((direction) => ({
    name: `replaces a connection that loses all bytes ${direction}`,
    run: async (harness: TestHarness) => {
      const [a, b] = await harness.schedulers();
      const { relay, port } = await harness.relay(b);
      a.connect([b], port);
      // The lower id dials, so its link becomes live after the peer's.
      await waitUntil("linked", () => a.links.livePeers.includes("b"));
      relay.dropBytes(direction);
      await waitUntil(
        "the timeout is detected",
        () => a.metrics.counter("links-ended-silent") === 1,
      );
      await waitUntil(
        "linked again",
        () => a.metrics.counter("links-opened") === 2,
      );
      a.send("b", [1]);
      b.send("a", [2]);
      await waitUntil("b has it", () => b.receivedNumbers.includes(1));
      await waitUntil("a has it", () => a.receivedNumbers.includes(2));
    },
  })),
  {
    name: "refuses a link if another node than the expected one replies",
    run: async (harness) => {
      const [a, b, c] = await harness.schedulers();
      a.connect([c], b.links.port);
      await waitUntil(
        "the link is refused",
        () => a.metrics.counter("links-ended-wrong-peer") > 0,
      );
      expect(a.links.livePeers).to.deep.equal([]);
    },
  },
  {
    name: "closes the links to peers that are no longer listed",
    run: async (harness) => {
      const [a, b, c] = await harness.schedulers();
      a.connect([b, c]);
      await waitUntil("linked", () => a.links.livePeers.length === 2);
      a.connect([c]);
      await waitUntil("disconnected", () => b.links.livePeers.length === 0);
      expect(a.links.livePeers).to.deep.equal(["c"]);
    },
  },
  {
    name: "drops the oldest messages when the queue is full",
    run: async (harness) => {
      const a = await harness.node({ nodeId: "a", maxQueuedMessages: 10 });
      const b = await harness.node({ nodeId: "b" });
      a.send("b", [1, 25]);
      a.connect([b]);
      await waitUntil(
        "the remaining messages arrived",
        () => b.received.length === 10,
      );
      expect(b.receivedNumbers).to.deep.equal(createRange(16, 25));
      expect(a.metrics.counter("link-messages-overflowed")).to.equal(15);
    },
  },
  {
    name: "sends queued messages before it closes",
    run: async (harness) => {
      const [a, b] = await harness.schedulers();
      a.connect([b]);
      await waitUntil("linked", () => b.links.livePeers.includes("a"));
      b.send("a", [1, 1_000]);
      await b.links.close();
      await waitUntil("all arrived", () => a.received.length === 1_000);
    },
  },
  {
    name: "delivers a node's messages to itself without a link",
    run: async (harness) => {
      const a = await harness.node({ nodeId: "a" });
      a.send("a", [1]);
      expect(a.receivedNumbers).to.deep.equal([1]);
      expect(a.received[0]?.from).to.equal("a");
    },
  },
];

describe("LinkPerformer", () => {
  for (const { name, run } of LINK_CASES) {
    it(name, async () => {
      const harness = new TestHarness();
      try {
        await run(harness);
      } finally {
        await harness.close();
      }
    });
  }
});

/** How far the earlier process of a node is when the next one starts. */
const LISTENER_CASES = [
  { name: "can't listen while the earlier one runs", isClosed: false },
  { name: "listens once the earlier one has closed", isClosed: true },
];

// Guards against two processes of one node that both act at the same address:
// a process takes its own start for the end of the earlier one.
describe("a node's next process", () => {
  for (const { name, isClosed } of LISTENER_CASES) {
    it(name, async () => {
      const harness = new TestHarness();
      const earlier = await harness.node({ nodeId: "a", incarnation: "1" });
      const { port } = earlier.links;
      if (isClosed) {
        await earlier.links.close();
      }
      const next = harness.node({ nodeId: "a", incarnation: "2", port });
      const error = await next.then(
        () => undefined,
        (reason: NodeJS.ErrnoException) => reason.code,
      );
      await harness.close();
      expect(error).to.equal(isClosed ? undefined : "EADDRINUSE");
    });
  }
});

describe("LinkPerformer links the other peers and rejects nothing", () => {
  for (const address of ODD_ADDRESSES) {
    it(`if one is listed at ${JSON.stringify(address)}`, async () => {
      const rejections: unknown[] = [];
      const onRejection = (reason: unknown) => rejections.push(reason);
      process.on("unhandledRejection", onRejection);
      const harness = new TestHarness();
      const [a, b] = await harness.schedulers();
      const peers = [
        { nodeId: "odd", address },
        { nodeId: "b", address: `127.0.0.1:${b.links.port}` },
      ];
      a.links.perform({ kind: EffectKind.ConnectPeers, peers }, a);
      await waitUntil("linked", () => a.links.livePeers.includes("b"));
      // The odd one is dialled more than once in this time.
      await new Promise((resolve) => setTimeout(resolve, ODD_DIALS_MS));
      process.off("unhandledRejection", onRejection);
      expect(rejections).to.deep.equal([]);
      expect(a.links.livePeers).to.deep.equal(["b"]);
      await harness.close();
    });
  }
});
