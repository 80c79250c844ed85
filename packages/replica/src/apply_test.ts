import { Kernel } from "@mustardweir/kernel";
import { ChangeKind } from "@mustardweir/protocol";
import { expect } from "chai";
import { applyChange } from "./apply.ts";
import { recordKey, RecordKind } from "./record_keys.ts";
import { REPLICA } from "./replica.ts";
import { ReplicaPlugin } from "./replica_plugin.ts";

const NODE = "n1";
const NOW_MS = 100_000;
/** The store's clock minus the node's own. */
const OFFSET_MS = 1_000;

interface SeenCase {
  readonly name: string;
  /** Ages of the records that are read, in order; undefined without a time. */
  readonly agesMs: readonly (number | undefined)[];
  /** How long ago the node counts as seen after the last of them. */
  readonly seenAgoMs: number;
}

const CASES: readonly SeenCase[] = [
  {
    name: "a record of an earlier version counts from its reading",
    agesMs: [undefined],
    seenAgoMs: 0,
  },
  {
    name: "a first record counts from its reading, as after a restart of all",
    agesMs: [9_000],
    seenAgoMs: 0,
  },
  {
    name:
      "a node that left long ago doesn't count when its record is first read",
    agesMs: [60_000],
    seenAgoMs: 60_000,
  },
  {
    name: "a node that is known counts from its renewal",
    agesMs: [0, 5_000],
    seenAgoMs: 5_000,
  },
  {
    name: "a renewal of the future counts as one of now",
    agesMs: [-3_000],
    seenAgoMs: 0,
  },
];

function readNode(kernel: Kernel, ageMs: number | undefined): void {
  const record = {
    address: "n1:1",
    incarnation: "a",
    zone: "z",
    unixOffsetMs: 0,
    ...(ageMs === undefined ? {} : { renewedMs: NOW_MS + OFFSET_MS - ageMs }),
  };
  kernel.update(NOW_MS, (update) => {
    update.write(REPLICA).storeClockOffsetMs = OFFSET_MS;
    applyChange(update, {
      kind: ChangeKind.Record,
      record: {
        ...recordKey(RecordKind.Node, NODE),
        version: 1,
        value: JSON.stringify(record),
      },
    });
  });
}

describe("the time at which a node was seen", () => {
  for (const { name, agesMs, seenAgoMs } of CASES) {
    it(name, () => {
      const kernel = new Kernel({ plugins: [new ReplicaPlugin()] });
      agesMs.forEach((ageMs) => readNode(kernel, ageMs));
      const { seenMs } = kernel.read(REPLICA).nodes.get(NODE)!;
      expect(NOW_MS - seenMs).to.equal(seenAgoMs);
    });
  }
});
