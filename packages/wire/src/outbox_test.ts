import { expect } from "chai";
import { Outbox } from "./outbox.ts";

const MESSAGE_BYTES = 10;

interface OutboxCase {
  readonly name: string;
  /** Times in milliseconds at which messages of 10 bytes are added. */
  readonly addedAt: readonly number[];
  readonly now: number;
  readonly maxBytes: number;
  /** Bound on the bytes of all queued messages; 1,000 if absent. */
  readonly queuedBytes?: number;
  readonly overflowed: number;
  readonly expired: number;
  /** Indexes of the messages that `take` returns. */
  readonly taken: readonly number[];
}

const OUTBOX_CASES: readonly OutboxCase[] = [
  {
    name: "returns messages in order",
    addedAt: [0, 1, 2],
    now: 2,
    maxBytes: 1_000,
    overflowed: 0,
    expired: 0,
    taken: [0, 1, 2],
  },
  {
    name: "drops the oldest messages when full",
    addedAt: [0, 0, 0, 0, 0, 0],
    now: 0,
    maxBytes: 1_000,
    overflowed: 2,
    expired: 0,
    taken: [2, 3, 4, 5],
  },
  {
    name: "drops the oldest messages beyond the bound on bytes",
    addedAt: [0, 0, 0],
    now: 0,
    maxBytes: 1_000,
    queuedBytes: 25,
    overflowed: 1,
    expired: 0,
    taken: [1, 2],
  },
  {
    name: "keeps the newest message though it is larger than the bound",
    addedAt: [0, 0],
    now: 0,
    maxBytes: 1_000,
    queuedBytes: 5,
    overflowed: 1,
    expired: 0,
    taken: [1],
  },
  {
    name: "drops messages queued longer than the maximum age",
    addedAt: [0, 50, 51],
    now: 151,
    maxBytes: 1_000,
    overflowed: 0,
    expired: 2,
    taken: [2],
  },
  {
    name: "returns no more bytes than requested",
    addedAt: [0, 0, 0],
    now: 0,
    maxBytes: 2 * MESSAGE_BYTES,
    overflowed: 0,
    expired: 0,
    taken: [0, 1],
  },
  {
    name: "returns one message that is larger than the requested bytes",
    addedAt: [0, 0],
    now: 0,
    maxBytes: 1,
    overflowed: 0,
    expired: 0,
    taken: [0],
  },
];

describe("Outbox", () => {
  for (const row of OUTBOX_CASES) {
    it(row.name, () => {
      const outbox = new Outbox({
        maxMessages: 4,
        maxBytes: row.queuedBytes ?? 1_000,
        maxAgeMs: 100,
      });
      const dropped = row.addedAt.map((at, kind) =>
        outbox.add({ kind, body: new Uint8Array(MESSAGE_BYTES) }, at)
      );
      expect(dropped.reduce((a, b) => a + b)).to.equal(row.overflowed);
      expect(outbox.expire(row.now)).to.equal(row.expired);
      const kinds = outbox.take(row.maxBytes).map(({ kind }) => kind);
      expect(kinds).to.deep.equal(row.taken);
    });
  }
});
