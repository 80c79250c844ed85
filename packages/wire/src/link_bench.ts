/**
 * Measures the cost of a message between two processes for each sending
 * method. Run it with `node --import=tsx packages/wire/src/link_bench.ts`; it
 * forks itself as the receiving process.
 */
import { type ChildProcess, fork } from "node:child_process";
import { createServer } from "node:http2";
import { type AddressInfo, connect, type Socket } from "node:net";
import { create } from "@bufbuild/protobuf";
import {
  type Client,
  type ConnectRouter,
  createClient,
} from "@connectrpc/connect";
import {
  connectNodeAdapter,
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { JobKind, Priority } from "@mustardweir/model";
import {
  AskMode,
  type PeerMessage,
  PeerMessageKind,
} from "@mustardweir/protocol";
import { JsonMessageCodec } from "./codec.ts";
import { LinkBenchService } from "./gen/mustardweir/link/v1/link_bench_pb.ts";
import {
  type Envelope,
  EnvelopeSchema,
  type Frame,
  FrameSchema,
  LinkService,
} from "./gen/mustardweir/link/v1/link_pb.ts";

const HOST = "127.0.0.1";
const RECEIVER_ARGUMENT = "receiver";
const UNARY_MESSAGES = 5_000;
const UNARY_IN_FLIGHT = 32;
const STREAM_MESSAGES = 50_000;
const BATCH_MESSAGES = 64;
const WARM_UP_MESSAGES = 1_000;

/** A request for room for one task, the most frequent message. */
const MESSAGE: PeerMessage = {
  kind: PeerMessageKind.AskRoom,
  team: "storefront",
  homeEpoch: 3,
  sliceId: "tx-a/0",
  sliceEpoch: 5,
  floor: 2,
  asks: [{
    seq: 8,
    mode: AskMode.Start,
    ttlMs: 500,
    task: {
      taskId: "storefront.0123456789abcdef.0.1",
      jobId: "storefront.0123456789abcdef",
      team: "storefront",
      homeEpoch: 3,
      askSeq: 8,
      kind: JobKind.Batch,
      priority: Priority.Normal,
      idempotent: true,
      size: { cpuMillis: 1_500, memoryMb: 512, accelerators: 0, slots: 1 },
      payload: "",
    },
  }],
};

const codec = new JsonMessageCodec();

/** A way of sending messages; each is measured on its own connection. */
abstract class SendingMethod {
  abstract readonly name: string;
  abstract readonly messages: number;
  abstract send(clients: BenchClients, messages: number): Promise<void>;
}

interface BenchClients {
  readonly unary: Client<typeof LinkBenchService>;
  readonly link: Client<typeof LinkService>;
}

class UnarySendingMethod extends SendingMethod {
  override readonly name = "unary call each";
  override readonly messages = UNARY_MESSAGES;

  override async send(
    { unary }: BenchClients,
    messages: number,
  ): Promise<void> {
    let left = messages;
    const sendSequentially = async () => {
      while (left > 0) {
        left -= 1;
        await unary.deliver(encodeMessage());
      }
    };
    await Promise.all(
      Array.from({ length: UNARY_IN_FLIGHT }, sendSequentially),
    );
  }
}

class StreamSendingMethod extends SendingMethod {
  override readonly name: string;
  override readonly messages = STREAM_MESSAGES;
  readonly #batch: number;

  constructor(batch: number) {
    super();
    this.#batch = batch;
    this.name = `stream, ${batch} a frame`;
  }

  override async send({ link }: BenchClients, messages: number): Promise<void> {
    for await (const _frame of link.exchange(this.#frames(messages))) {
      // The receiver replies once, after it has received all messages.
    }
  }

  async *#frames(messages: number): AsyncGenerator<Frame> {
    for (let sent = 0; sent < messages; sent += this.#batch) {
      const length = Math.min(this.#batch, messages - sent);
      const envelopes = Array.from({ length }, encodeMessage);
      yield create(FrameSchema, { envelopes });
    }
  }
}

const SENDING_METHODS: readonly SendingMethod[] = [
  new UnarySendingMethod(),
  new StreamSendingMethod(1),
  new StreamSendingMethod(BATCH_MESSAGES),
];

function encodeMessage(): Envelope {
  const body = codec.encode(MESSAGE) as Uint8Array<ArrayBuffer>;
  return create(EnvelopeSchema, { kind: MESSAGE.kind, body });
}

function decodeMessage({ kind, body }: Envelope): void {
  codec.decode(kind, body)._unsafeUnwrap();
}

function routes(router: ConnectRouter): void {
  router.service(LinkBenchService, {
    deliver: (envelope) => {
      decodeMessage(envelope);
      return {};
    },
  });
  router.service(LinkService, {
    async *exchange(frames) {
      for await (const frame of frames) {
        frame.envelopes.forEach(decodeMessage);
      }
      yield create(FrameSchema, {});
    },
  });
}

/** Runs the receiving process: sends its port, then its CPU time on request. */
function runReceiver(): void {
  const server = createServer(connectNodeAdapter({ routes }));
  server.listen(0, HOST, () => {
    process.send?.((server.address() as AddressInfo).port);
  });
  process.on("message", () => process.send?.(cpuTimeMs()));
}

/** Returns the CPU time of this process so far, in milliseconds. */
function cpuTimeMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

/** Handle of the receiving process, used by the sender. */
class Receiver {
  readonly #process: ChildProcess;

  constructor() {
    this.#process = fork(process.argv[1] ?? "", [RECEIVER_ARGUMENT]);
  }

  /** Resolves to the next number that the process sends. */
  receiveNumber(): Promise<number> {
    return new Promise((resolve) => this.#process.once("message", resolve));
  }

  readCpuTimeMs(): Promise<number> {
    const reply = this.receiveNumber();
    this.#process.send("");
    return reply;
  }

  stop(): void {
    this.#process.kill();
  }
}

/** Readings of both processes at one time. */
interface Sample {
  readonly timeMs: number;
  /** CPU time of the sender. */
  readonly senderMs: number;
  /** CPU time of the receiver. */
  readonly receiverMs: number;
  /** Bytes sent and received by the sender. */
  readonly bytes: number;
}

async function takeSample(receiver: Receiver, socket: Socket): Promise<Sample> {
  return {
    receiverMs: await receiver.readCpuTimeMs(),
    senderMs: cpuTimeMs(),
    timeMs: performance.now(),
    bytes: socket.bytesWritten + socket.bytesRead,
  };
}

async function measure(method: SendingMethod): Promise<SendingCost> {
  const receiver = new Receiver();
  const port = await receiver.receiveNumber();
  const baseUrl = `http://${HOST}:${port}`;
  const socket = connect(port, HOST);
  const sessionManager = new Http2SessionManager(baseUrl, undefined, {
    createConnection: () => socket,
  });
  const transport = createConnectTransport({
    httpVersion: "2",
    baseUrl,
    sessionManager,
    acceptCompression: [],
  });
  const clients = {
    unary: createClient(LinkBenchService, transport),
    link: createClient(LinkService, transport),
  };
  await method.send(clients, WARM_UP_MESSAGES);
  const before = await takeSample(receiver, socket);
  await method.send(clients, method.messages);
  const after = await takeSample(receiver, socket);
  sessionManager.abort();
  receiver.stop();
  return report(method, { before, after });
}

interface Samples {
  readonly before: Sample;
  readonly after: Sample;
}

/** Cost of one sending method, per message. */
interface SendingCost {
  readonly name: string;
  /** Messages per second. */
  readonly rate: number;
  readonly bytes: number;
  /** CPU time in microseconds. */
  readonly senderUs: number;
  /** CPU time in microseconds. */
  readonly receiverUs: number;
}

function report(
  { name, messages }: SendingMethod,
  { before, after }: Samples,
): SendingCost {
  const perMessage = (value: (sample: Sample) => number) =>
    (value(after) - value(before)) / messages;
  const rate = 1_000 / perMessage(({ timeMs }) => timeMs);
  const senderUs = 1_000 * perMessage(({ senderMs }) => senderMs);
  const receiverUs = 1_000 * perMessage(({ receiverMs }) => receiverMs);
  const bytes = perMessage((sample) => sample.bytes);
  console.log(
    `${name}: ${rate.toFixed(0)} messages/s, ${bytes.toFixed(0)} bytes, ` +
      `${senderUs.toFixed(1)} us CPU at the sender and ` +
      `${receiverUs.toFixed(1)} us CPU at the receiver per message`,
  );
  return { name, rate, bytes, senderUs, receiverUs };
}

if (process.argv[2] === RECEIVER_ARGUMENT) {
  runReceiver();
} else {
  console.log(`message body: ${codec.encode(MESSAGE).length} bytes`);
  const costs: SendingCost[] = [];
  for (const method of SENDING_METHODS) {
    costs.push(await measure(method));
  }
  process.send?.(costs, () => process.disconnect());
}
