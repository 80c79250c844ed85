import { Kernel, Role } from "@mustardweir/kernel";
import { NODE_IDENTITY } from "@mustardweir/protocol";
import { REPLICA, ReplicaPlugin, TENURE_SEEN } from "@mustardweir/replica";
import { StoreRoutePlugin } from "@mustardweir/store-route";
import { expect } from "chai";
import { TENURE, TenurePhase, TenurePlugin } from "./mod.ts";

const NOW_MS = 100_000;
/** Store clock minus the node's clock, in milliseconds. */
const OFFSET_MS = 7_000;

interface HandedOverCase {
  readonly name: string;
  /** Age of the hand-over when it is read, in ms; absent in older records. */
  readonly ageMs?: number;
  /** Time from the confirmation to the reading, in milliseconds. */
  readonly confirmedAgoMs: number;
}

const CASES: readonly HandedOverCase[] = [
  { name: "at once", ageMs: 5, confirmedAgoMs: 5 },
  { name: "after a pause", ageMs: 6_000, confirmedAgoMs: 6_000 },
  { name: "by a clock that is behind", ageMs: -50, confirmedAgoMs: 0 },
  { name: "from an earlier version", confirmedAgoMs: 0 },
];

// Guards against a node that takes a hand-over for confirmed when it reads it,
// though it was paused and the domain has a newer owner.
describe("a node that the domain was handed to", () => {
  for (const { name, ageMs, confirmedAgoMs } of CASES) {
    it(`counts it as confirmed when it took place, read ${name}`, () => {
      const kernel = new Kernel({
        plugins: [
          new StoreRoutePlugin(),
          new ReplicaPlugin(),
          new TenurePlugin(),
        ],
      });
      kernel.registerService(NODE_IDENTITY, {
        nodeId: "n1",
        role: Role.Combined,
        incarnation: "a",
        availabilityZone: "z",
        peerAddress: "n1:1",
        seedPeers: [],
      });
      kernel.update(NOW_MS, (update) => {
        update.write(REPLICA).storeClockOffsetMs = OFFSET_MS;
      });
      kernel.run(TENURE_SEEN, {
        record: {
          nodeId: "n1",
          incarnation: "a",
          epoch: 2,
          sequence: 1,
          ...(ageMs === undefined
            ? {}
            : { claimedMs: NOW_MS + OFFSET_MS - ageMs }),
        },
        version: 9,
        seenMs: NOW_MS,
      }, NOW_MS);
      const { phase, confirmedMs } = kernel.read(TENURE);
      expect(phase).to.equal(TenurePhase.Opening);
      expect(confirmedMs).to.equal(NOW_MS - confirmedAgoMs);
    });
  }
});
