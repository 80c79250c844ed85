import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { PeerMessageKind } from "@mustardweir/protocol";
import { expect } from "chai";
import { JsonMessageCodec } from "./codec.ts";
import { FrameSchema, LinkService } from "./gen/mustardweir/link/v1/link_pb.ts";
import { eventually, numbered, TestNode } from "./test_nodes.ts";

type FrameInit = MessageInitShape<typeof FrameSchema>;

const encoder = new TextEncoder();
const codec = new JsonMessageCodec();

function hello(session: bigint, incarnation = "1"): FrameInit {
  return { nodeId: "a", incarnation, session };
}

function carrying(number: number): FrameInit {
  const message = numbered(number);
  return { envelopes: [{ kind: message.kind, body: codec.encode(message) }] };
}

function malformed(kind: number, text: string): FrameInit {
  return { envelopes: [{ kind, body: encoder.encode(text) }] };
}

interface FrameCase {
  readonly name: string;
  /** The frames of each stream; a stream is opened after the one before. */
  readonly streams: readonly (readonly FrameInit[])[];
  readonly counter: string;
  readonly value: number;
  readonly numbers: readonly number[];
}

const FRAME_CASES: readonly FrameCase[] = [
  {
    name: "counts malformed messages and goes on",
    streams: [[
      hello(1n),
      malformed(99, "{}"),
      malformed(PeerMessageKind.FenceHome, "{"),
      malformed(PeerMessageKind.FenceHome, '{"kind":4,"team":7}'),
      carrying(1),
    ]],
    counter: "link-messages-malformed",
    value: 3,
    numbers: [1],
  },
  {
    name: "ignores a stream older than the newest",
    streams: [[hello(2n), carrying(1)], [hello(1n), carrying(2)]],
    counter: "links-ended-out-of-date",
    value: 1,
    numbers: [1],
  },
  {
    name: "replaces a stream by a newer one",
    streams: [[hello(1n), carrying(1)], [hello(2n), carrying(2)]],
    counter: "links-ended-replaced",
    value: 1,
    numbers: [1, 2],
  },
  {
    name: "counts sessions anew when the peer was started anew",
    streams: [[hello(9n), carrying(1)], [hello(1n, "2"), carrying(2)]],
    counter: "links-ended-replaced",
    value: 1,
    numbers: [1, 2],
  },
];

/** Opens a stream, sends `frames` and leaves it open. */
function openStream(port: number, frames: readonly FrameInit[]): () => void {
  const baseUrl = `http://127.0.0.1:${port}`;
  const sessionManager = new Http2SessionManager(baseUrl);
  const transport = createConnectTransport({
    httpVersion: "2",
    baseUrl,
    sessionManager,
  });
  let end = () => {};
  const ended = new Promise<void>((resolve) => end = resolve);
  async function* send() {
    for (const frame of frames) {
      yield create(FrameSchema, frame);
    }
    await ended;
  }
  void drain(createClient(LinkService, transport).exchange(send()));
  return () => {
    end();
    sessionManager.abort();
  };
}

async function drain(frames: AsyncIterable<unknown>): Promise<void> {
  try {
    for await (const _frame of frames) {
      // Only the other side's view is checked.
    }
  } catch {
    // The other side may end the stream.
  }
}

describe("Frames of a link", () => {
  for (const { name, streams, counter, value, numbers } of FRAME_CASES) {
    it(name, async () => {
      const node = new TestNode({ nodeId: "b" });
      await node.links.start(node);
      const closers: (() => void)[] = [];
      try {
        for (const [index, frames] of streams.entries()) {
          closers.push(openStream(node.links.port, frames));
          const seen = () => node.received.length + refused(node) > index;
          await eventually(`stream ${index} was seen`, seen);
        }
        await eventually(
          `${counter} is ${value}`,
          () => node.metrics.counter(counter) === value,
        );
        expect(node.numbers).to.deep.equal(numbers);
        expect(node.links.livePeers).to.deep.equal(["a"]);
      } finally {
        closers.forEach((close) => close());
        await node.links.close();
      }
    });
  }
});

function refused(node: TestNode): number {
  return node.metrics.counter("links-ended-out-of-date");
}
