import { connect } from "node:net";
import { PeerMessageKind } from "@mustardweir/protocol";
import { expect } from "chai";
import fc from "fast-check";
import { JsonMessageCodec } from "./codec.ts";
import { TestNode, waitUntil } from "./test_nodes.ts";

const SEED = 20_261;
const CODEC_RUNS = 2_000;
const SOCKET_RUNS = 60;

const kinds = Object.values(PeerMessageKind).filter((kind) =>
  typeof kind === "number"
);

/** Arbitrary bytes, arbitrary JSON, or JSON with fields of real messages. */
const bytes = fc.oneof(
  fc.uint8Array({ maxLength: 300 }),
  fc.json({ maxDepth: 4 }).map((text) => new TextEncoder().encode(text)),
  fc.record({
    kind: fc.constantFrom(...kinds, -1, "1"),
    team: fc.oneof(fc.string(), fc.constant("__proto__"), fc.double()),
    homeEpoch: fc.oneof(fc.double(), fc.constant(null)),
    asks: fc.array(fc.anything(), { maxLength: 3 }),
    events: fc.oneof(fc.array(fc.object()), fc.string()),
    call: fc.object(),
  }).map((message) => new TextEncoder().encode(JSON.stringify(message))),
);

describe("Invalid input to links", () => {
  it("makes the codec return an error with a message and never throw", () => {
    const codec = new JsonMessageCodec();
    const kind = fc.oneof(fc.constantFrom(...kinds), fc.integer());
    fc.assert(
      fc.property(kind, bytes, (kind, body) => {
        codec.decode(kind, body).match(
          (message) => expect(message.kind).to.equal(kind),
          (error) => expect(error.message).not.to.equal(""),
        );
      }),
      { seed: SEED, numRuns: CODEC_RUNS },
    );
  });

  it("on a socket does not affect the node or its links", async () => {
    const a = new TestNode({ nodeId: "a" });
    const b = new TestNode({ nodeId: "b" });
    await Promise.all([a.links.start(a), b.links.start(b)]);
    a.connect([b]);
    await waitUntil("they are linked", () => b.links.livePeers.length === 1);
    const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const prefix = fc.constantFrom("", preface, "GET / HTTP/1.1\r\n\r\n");
    const hostile = fc.tuple(prefix, fc.uint8Array({ maxLength: 2_000 }));
    await fc.assert(
      fc.asyncProperty(hostile, async ([start, rest]) => {
        await new Promise((resolve) => {
          const socket = connect(b.links.port, "127.0.0.1");
          socket.on("error", () => {});
          socket.once("close", resolve);
          socket.end(Buffer.concat([Buffer.from(start), rest]));
          socket.resume();
        });
      }),
      { seed: SEED, numRuns: SOCKET_RUNS },
    );
    a.send("b", [1]);
    await waitUntil("messages still arrive", () => b.received.length === 1);
    expect(b.metrics.counter("links-opened")).to.equal(1);
    await Promise.all([a.links.close(), b.links.close()]);
  });
});
