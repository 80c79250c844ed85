import { Kernel } from "@mustardweir/kernel";
import { ChangeKind } from "@mustardweir/protocol";
import { expect } from "chai";
import { applyChange } from "./apply.ts";
import { recordKey, RecordKind } from "./record_keys.ts";
import { REPLICA, unixNow } from "./replica.ts";
import { ReplicaPlugin } from "./replica_plugin.ts";

const NOW_MS = 100_000;
/** The store's clock minus the node's own. */
const OFFSET_MS = 1_000;
const STORE_MS = NOW_MS + OFFSET_MS;
/** Time of day minus the store's clock. */
const TRUE_MS = 1_700_000_000_000;

/** A node's record; without a time of renewal, it knows no clock yet. */
interface NodeClock {
  readonly offsetMs: number;
  readonly hasRenewed?: boolean;
}

interface ClockCase {
  readonly name: string;
  readonly nodes: readonly NodeClock[];
  /** Offset that this node has read itself; undefined before the first reply. */
  readonly ownMs?: number;
  readonly medianMs: number | undefined;
}

const UNKNOWN: NodeClock = { offsetMs: 0, hasRenewed: false };

const CASES: readonly ClockCase[] = [
  {
    name: "nothing is known",
    nodes: [],
    medianMs: undefined,
  },
  {
    name: "no other node is known",
    nodes: [],
    ownMs: TRUE_MS,
    medianMs: TRUE_MS,
  },
  {
    name: "most nodes have not read the store's clock",
    nodes: [UNKNOWN, UNKNOWN, UNKNOWN, { offsetMs: TRUE_MS }],
    medianMs: TRUE_MS,
  },
  {
    name: "no node has read the store's clock but this one",
    nodes: [UNKNOWN, UNKNOWN],
    ownMs: TRUE_MS,
    medianMs: TRUE_MS,
  },
  {
    name: "an earlier version tells an offset and no time of renewal",
    nodes: [{ offsetMs: TRUE_MS, hasRenewed: false }],
    medianMs: TRUE_MS,
  },
  {
    name: "the clocks of a minority have jumped",
    nodes: [
      { offsetMs: TRUE_MS - 4_000 },
      { offsetMs: TRUE_MS },
      { offsetMs: TRUE_MS + 4_000 },
    ],
    medianMs: TRUE_MS,
  },
  {
    name: "the clocks of half of the nodes are ahead",
    nodes: [{ offsetMs: TRUE_MS }, { offsetMs: TRUE_MS + 4_000 }],
    medianMs: TRUE_MS,
  },
];

// Guards against a time of day near 1970 after a restart of all nodes, for which
// no occurrence of a schedule is due.
describe("the time of day", () => {
  for (const { name, nodes, ownMs, medianMs } of CASES) {
    const verb = medianMs === undefined ? "is unknown" : "is right";
    it(`${verb} when ${name}`, () => {
      const kernel = new Kernel({ plugins: [new ReplicaPlugin()] });
      let unixMs: number | undefined;
      kernel.update(NOW_MS, (update) => {
        const replica = update.write(REPLICA);
        replica.storeClockOffsetMs = OFFSET_MS;
        replica.unixOffsetMs = ownMs;
        nodes.forEach(({ offsetMs, hasRenewed = true }, index) =>
          applyChange(update, {
            kind: ChangeKind.Record,
            record: {
              ...recordKey(RecordKind.Node, `n${index}`),
              version: 1,
              value: JSON.stringify({
                address: "n:1",
                incarnation: "a",
                zone: "z",
                unixOffsetMs: offsetMs,
                ...(hasRenewed ? { renewedMs: STORE_MS } : {}),
              }),
            },
          })
        );
        unixMs = unixNow(update);
      });
      expect(unixMs).to.equal(
        medianMs === undefined ? undefined : STORE_MS + medianMs,
      );
    });
  }
});
