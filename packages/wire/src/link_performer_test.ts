import { Role } from "@mustardweir/kernel";
import { ALL_PEERS } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  eventually,
  range,
  RelayDirection,
  TcpRelay,
  TestNode,
  type TestNodeOptions,
} from "./test_nodes.ts";

/** Starts nodes and closes them after the case. */
class Bed {
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

interface LinkCase {
  readonly name: string;
  readonly run: (bed: Bed) => Promise<void>;
}

const LINK_CASES: readonly LinkCase[] = [
  {
    name: "carries messages both ways over the lower id's link",
    run: async (bed) => {
      const [a, b] = await bed.schedulers();
      a.connect([b]);
      b.connect([a]);
      a.send("b", [1]);
      await eventually("b has it", () => b.received.length === 1);
      b.send("a", [2]);
      await eventually("a has it", () => a.received.length === 1);
      expect(b.received[0]?.from).to.equal("a");
      expect(a.numbers).to.deep.equal([2]);
      expect(b.metrics.counter("links-opened")).to.equal(1);
    },
  },
  {
    name: "reaches entries, which only dial, by their id",
    run: async (bed) => {
      const entry = await bed.node({ nodeId: "e", role: Role.Entry });
      const [a, b] = await bed.schedulers();
      entry.connect([a, b]);
      a.send("e", [1]);
      b.send("e", [2]);
      await eventually("both arrived", () => entry.received.length === 2);
      expect(entry.links.livePeers).to.have.members(["a", "b"]);
    },
  },
  {
    name: "sends to every node that it has a link with",
    run: async (bed) => {
      const entry = await bed.node({ nodeId: "e", role: Role.Entry });
      const [a, b] = await bed.schedulers();
      entry.connect([a]);
      a.connect([b]);
      await eventually("linked", () => a.links.livePeers.length === 2);
      a.send(ALL_PEERS, [1]);
      await eventually("e has it", () => entry.received.length === 1);
      await eventually("b has it", () => b.received.length === 1);
      expect(a.received).to.deep.equal([]);
    },
  },
  {
    name: "dials from the higher id when the lower does not",
    run: async (bed) => {
      const [a, b] = await bed.schedulers();
      b.connect([a]);
      await eventually("linked", () => a.links.livePeers.includes("b"));
      a.send("b", [1]);
      await eventually("b has it", () => b.received.length === 1);
    },
  },
  {
    name: "keeps the order of a batch and sends it in few frames",
    run: async (bed) => {
      const [a, b] = await bed.schedulers();
      a.connect([b]);
      a.send("b", [1, 5_000]);
      await eventually("all arrived", () => b.received.length === 5_000);
      expect(b.numbers).to.deep.equal(range(1, 5_000));
      expect(a.metrics.counter("link-frames-sent")).to.be.below(50);
    },
  },
  {
    name: "finds a peer again that was started anew",
    run: async (bed) => {
      const [a, b] = await bed.schedulers();
      a.connect([b]);
      await eventually("linked", () => a.links.livePeers.includes("b"));
      await b.links.close();
      await eventually("parted", () => a.links.livePeers.length === 0);
      const port = b.links.port;
      const again = await bed.node({ nodeId: "b", incarnation: "2", port });
      await eventually("linked", () => a.links.livePeers.includes("b"));
      a.send("b", [7]);
      await eventually("it has it", () => again.received.length === 1);
    },
  },
  ...Object.values(RelayDirection).map((direction) => ({
    name: `leaves a connection that is silent ${direction}`,
    run: async (bed: Bed) => {
      const [a, b] = await bed.schedulers();
      const { relay, port } = await bed.relay(b);
      a.connect([b], port);
      // The lower id dials: its link is live after the other side's.
      await eventually("linked", () => a.links.livePeers.includes("b"));
      relay.silence(direction);
      await eventually(
        "it was noticed",
        () => a.metrics.counter("links-ended-silent") === 1,
      );
      await eventually(
        "linked anew",
        () => a.metrics.counter("links-opened") === 2,
      );
      a.send("b", [1]);
      b.send("a", [2]);
      await eventually("b has it", () => b.numbers.includes(1));
      await eventually("a has it", () => a.numbers.includes(2));
    },
  })),
  {
    name: "takes no link with another node than the one named",
    run: async (bed) => {
      const [a, b, c] = await bed.schedulers();
      a.connect([c], b.links.port);
      await eventually(
        "it was refused",
        () => a.metrics.counter("links-ended-wrong-peer") > 0,
      );
      expect(a.links.livePeers).to.deep.equal([]);
    },
  },
  {
    name: "closes the links to peers that are no longer named",
    run: async (bed) => {
      const [a, b, c] = await bed.schedulers();
      a.connect([b, c]);
      await eventually("linked", () => a.links.livePeers.length === 2);
      a.connect([c]);
      await eventually("parted", () => b.links.livePeers.length === 0);
      expect(a.links.livePeers).to.deep.equal(["c"]);
    },
  },
  {
    name: "drops the oldest messages when the queue is full",
    run: async (bed) => {
      const a = await bed.node({ nodeId: "a", maxQueuedMessages: 10 });
      const b = await bed.node({ nodeId: "b" });
      a.send("b", [1, 25]);
      a.connect([b]);
      await eventually("the rest arrived", () => b.received.length === 10);
      expect(b.numbers).to.deep.equal(range(16, 25));
      expect(a.metrics.counter("link-messages-overflowed")).to.equal(15);
    },
  },
  {
    name: "sends what waits before it closes",
    run: async (bed) => {
      const [a, b] = await bed.schedulers();
      a.connect([b]);
      await eventually("linked", () => b.links.livePeers.includes("a"));
      b.send("a", [1, 1_000]);
      await b.links.close();
      await eventually("all arrived", () => a.received.length === 1_000);
    },
  },
  {
    name: "delivers a node's messages to itself as they are",
    run: async (bed) => {
      const a = await bed.node({ nodeId: "a" });
      a.send("a", [1]);
      expect(a.numbers).to.deep.equal([1]);
      expect(a.received[0]?.from).to.equal("a");
    },
  },
];

describe("LinkPerformer", () => {
  for (const { name, run } of LINK_CASES) {
    it(name, async () => {
      const bed = new Bed();
      try {
        await run(bed);
      } finally {
        await bed.close();
      }
    });
  }
});
