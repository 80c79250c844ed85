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
import { createNumberedMessage, TestNode, waitUntil } from "./test_nodes.ts";

type FrameInit = MessageInitShape<typeof FrameSchema>;

const encoder = new TextEncoder();
const codec = new JsonMessageCodec();

function createHelloFrame(session: bigint, incarnation = "1"): FrameInit {
  return { nodeId: "a", incarnation, session };
}

function createMessageFrame(number: number): FrameInit {
  const message = createNumberedMessage(number);
  return { envelopes: [{ kind: message.kind, body: codec.encode(message) }] };
}

function createMalformedFrame(kind: number, text: string): FrameInit {
  return { envelopes: [{ kind, body: encoder.encode(text) }] };
}

interface FrameCase {
  readonly name: string;
  /** The frames of each stream; the streams are opened one after another. */
  readonly streams: readonly (readonly FrameInit[])[];
  /** Name of the counter that is checked. */
  readonly counter: string;
  readonly value: number;
  /** Numbers of the messages that must be received. */
  readonly numbers: readonly number[];
}

const FRAME_CASES: readonly FrameCase[] = [
  {
    name: "counts malformed messages and delivers the following ones",
    streams: [[
      createHelloFrame(1n),
      createMalformedFrame(99, "{}"),
      createMalformedFrame(PeerMessageKind.FenceHome, "{"),
      createMalformedFrame(PeerMessageKind.FenceHome, '{"kind":4,"team":7}'),
      createMessageFrame(1),
    ]],
    counter: "link-messages-malformed",
    value: 3,
    numbers: [1],
  },
  {
    name: "refuses a stream that is older than the newest",
    streams: [[createHelloFrame(2n), createMessageFrame(1)], [
      createHelloFrame(1n),
      createMessageFrame(2),
    ]],
    counter: "links-ended-out-of-date",
    value: 1,
    numbers: [1],
  },
  {
    name: "replaces a stream with a newer one",
    streams: [[createHelloFrame(1n), createMessageFrame(1)], [
      createHelloFrame(2n),
      createMessageFrame(2),
    ]],
    counter: "links-ended-replaced",
    value: 1,
    numbers: [1, 2],
  },
  {
    name: "accepts lower session numbers after the peer has restarted",
    streams: [[createHelloFrame(9n), createMessageFrame(1)], [
      createHelloFrame(1n, "2"),
      createMessageFrame(2),
    ]],
    counter: "links-ended-replaced",
    value: 1,
    numbers: [1, 2],
  },
];

/** Opens a stream and sends `frames`; returns a function that closes it. */
function openStream(port: number, frames: readonly FrameInit[]): () => void {
  const baseUrl = `http://127.0.0.1:${port}`;
  const sessionManager = new Http2SessionManager(baseUrl);
  const transport = createConnectTransport({
    httpVersion: "2",
    baseUrl,
    sessionManager,
  });
  let endStream = () => {};
  const ended = new Promise<void>((resolve) => endStream = resolve);
  async function* send() {
    for (const frame of frames) {
      yield create(FrameSchema, frame);
    }
    await ended;
  }
  void drain(createClient(LinkService, transport).exchange(send()));
  return () => {
    endStream();
    sessionManager.abort();
  };
}

async function drain(frames: AsyncIterable<unknown>): Promise<void> {
  try {
    for await (const _frame of frames) {
      // Only the effect on the receiving node is checked.
    }
  } catch {
    // The receiving node may end the stream.
  }
}

describe("Link frames", () => {
  for (const { name, streams, counter, value, numbers } of FRAME_CASES) {
    it(name, async () => {
      const node = new TestNode({ nodeId: "b" });
      await node.links.start(node);
      const closers: (() => void)[] = [];
      try {
        for (const [index, frames] of streams.entries()) {
          closers.push(openStream(node.links.port, frames));
          const isHandled = () =>
            node.received.length + countRefusedStreams(node) > index;
          await waitUntil(`stream ${index} was handled`, isHandled);
        }
        await waitUntil(
          `${counter} is ${value}`,
          () => node.metrics.counter(counter) === value,
        );
        expect(node.receivedNumbers).to.deep.equal(numbers);
        expect(node.links.livePeers).to.deep.equal(["a"]);
      } finally {
        closers.forEach((close) => close());
        await node.links.close();
      }
    });
  }
});

function countRefusedStreams(node: TestNode): number {
  return node.metrics.counter("links-ended-out-of-date");
}
