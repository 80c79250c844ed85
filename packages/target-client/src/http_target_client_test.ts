import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createCommand } from "@mustardweir/kernel";
import {
  EffectKind,
  type EffectReply,
  replyTo,
  type SyncCall,
  type SyncResult,
  SyncResultKind,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { HttpTargetClient } from "./http_target_client.ts";
import { TargetClient } from "./target_client.ts";
import { TargetPerformer } from "./target_performer.ts";

const TIMEOUT_MS = 100;
const LONG_TIMEOUT_MS = 10_000;
const CALL: SyncCall = {
  sliceId: "z/0",
  epoch: 1,
  floor: 0,
  starts: [],
  stops: [],
  throttles: [],
  acks: [],
  waitMs: 0,
};
const FENCED = '{"kind":"fenced","epoch":7}';

/** Blocks the event loop, as a suspended process does. */
function pause(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

interface ClientCase {
  readonly name: string;
  readonly answer: (res: ServerResponse) => void;
  readonly timeoutMs?: number;
  readonly expected: RegExp | SyncResult;
}

const CLIENT_CASES: readonly ClientCase[] = [
  {
    name: "a valid response",
    answer: (res) => res.end(FENCED),
    expected: { kind: SyncResultKind.Fenced, epoch: 7 },
  },
  {
    name: "a timeout without a response",
    answer: () => {},
    timeoutMs: TIMEOUT_MS,
    expected: /^No answer within 100 ms$/,
  },
  {
    name: "a timeout during the response",
    answer: (res) => res.write('{"kind":'),
    timeoutMs: TIMEOUT_MS,
    expected: /^No answer within 100 ms$/,
  },
  {
    name: "a response that arrived during a pause past the timeout",
    answer: (res) => res.end(FENCED, () => pause(3 * TIMEOUT_MS)),
    timeoutMs: TIMEOUT_MS,
    expected: { kind: SyncResultKind.Fenced, epoch: 7 },
  },
  {
    name: "a closed connection",
    answer: (res) => res.destroy(),
    expected: /^The call to the worker failed: /,
  },
  {
    name: "a response that is not JSON",
    answer: (res) => res.end("{"),
    expected: /^The worker's answer is malformed: not JSON$/,
  },
  {
    name: "a response without a required field",
    answer: (res) => res.end('{"kind":"fenced"}'),
    expected: /^The worker's answer is malformed: epoch: /,
  },
  {
    name: "a response of a kind that only the client creates",
    answer: (res) => res.end('{"kind":"no-answer","message":"x"}'),
    expected: /^The worker's answer is malformed: kind: /,
  },
  {
    name: "an error status",
    answer: (res) => res.writeHead(503).end("busy"),
    expected: /^The worker answered with status 503$/,
  },
];

async function listen(server: Server): Promise<string> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}/w1`;
}

async function close(server: Server): Promise<void> {
  const closed = once(server, "close");
  server.close();
  server.closeAllConnections();
  await closed;
}

describe("HttpTargetClient", () => {
  for (const { name, answer, timeoutMs, expected } of CLIENT_CASES) {
    it(`returns the result for ${name}`, async () => {
      const server = createServer((_req, res) => answer(res));
      const client = new HttpTargetClient();
      try {
        const address = await listen(server);
        const limitMs = timeoutMs ?? LONG_TIMEOUT_MS;
        const result = await client.sync(address, CALL, limitMs);
        if (expected instanceof RegExp) {
          expect(result.kind).to.equal(SyncResultKind.NoAnswer);
          expect((result as { message: string }).message).to.match(expected);
        } else {
          expect(result).to.deep.equal(expected);
        }
      } finally {
        await client.close();
        await close(server);
      }
    });
  }

  // Right after a response the pool may still count its connection as busy,
  // so it may open one more.
  const REUSE_CASES = [
    { name: "reuses connections after responses", silent: false, most: 2 },
    {
      name: "does not reuse a connection after a timeout",
      silent: true,
      most: 3,
    },
  ];
  for (const { name, silent, most } of REUSE_CASES) {
    it(name, async () => {
      const sockets: unknown[] = [];
      const server = createServer((req, res) => {
        sockets.push(req.socket);
        req.resume();
        if (!silent || sockets.length > 1) {
          res.end(FENCED);
        }
      });
      const client = new HttpTargetClient();
      try {
        const address = await listen(server);
        const firstMs = silent ? TIMEOUT_MS : LONG_TIMEOUT_MS;
        await client.sync(address, CALL, firstMs);
        for (let calls = 0; calls < 10; calls += 1) {
          const result = await client.sync(address, CALL, LONG_TIMEOUT_MS);
          expect(result.kind).to.equal(SyncResultKind.Fenced);
        }
        expect(new Set(sockets).size).to.be.at.most(most);
        expect(sockets.slice(1).includes(sockets[0])).to.equal(!silent);
      } finally {
        await client.close();
        await close(server);
      }
    });
  }

  it("returns the connection error for a closed port", async () => {
    const server = createServer();
    const address = await listen(server);
    await close(server);
    const client = new HttpTargetClient();
    const result = await client.sync(address, CALL, LONG_TIMEOUT_MS);
    await client.close();
    expect(result.kind).to.equal(SyncResultKind.NoAnswer);
    expect((result as { message: string }).message).to.match(/ECONNREFUSED/);
  });
});

class FixedClient extends TargetClient {
  override sync(): Promise<SyncResult> {
    return Promise.resolve({ kind: SyncResultKind.Fenced, epoch: 7 });
  }
}

const SYNCED = createCommand<EffectReply<string, SyncResult>>("synced");
const PERFORMER_CASES = [
  { name: "posts the result to the command of the effect", closed: false },
  { name: "posts nothing after it was closed", closed: true },
];

describe("TargetPerformer", () => {
  for (const { name, closed } of PERFORMER_CASES) {
    it(name, async () => {
      const performer = new TargetPerformer({ client: new FixedClient() });
      const posted: unknown[] = [];
      performer.perform(
        {
          kind: EffectKind.SyncTarget,
          instanceId: "i1",
          address: "http://127.0.0.1:1/w1",
          call: CALL,
          timeoutMs: TIMEOUT_MS,
          replyTo: replyTo(SYNCED, "i1"),
        },
        { post: (command, payload) => posted.push([command, payload]) },
      );
      if (closed) {
        await performer.close();
      }
      await new Promise((resolve) => setImmediate(resolve));
      const result = { kind: SyncResultKind.Fenced, epoch: 7 };
      const answer = [SYNCED, { context: "i1", result }];
      expect(posted).to.deep.equal(closed ? [] : [answer]);
    });
  }
});
