import { expect } from "chai";
import { Kernel, Role } from "@mustardweir/kernel";
import { CONFIGURATION, ConfigurationPlugin } from "@mustardweir/configuration";
import {
  EffectKind,
  NODE_IDENTITY,
  type NodeEffect,
  PEER_MESSAGE_RECEIVED,
  type PeerMessage,
  PeerMessageKind,
} from "@mustardweir/protocol";
import {
  ClaimPlugin,
  ConfirmationPlugin,
  HeartbeatPlugin,
  majorityVouchedAt,
  OWNED,
  OWNERSHIP,
  OwnershipFollowerPlugin,
  SCHEDULERS,
  VouchPlugin,
  WRITE_LIFETIME_MS,
} from "./mod.ts";

/** A time at which the scheduler has been up for long enough to vouch. */
const START = 2 * WRITE_LIFETIME_MS;

/** Scheduler `s1` of five; tests feed it messages and set its clock. */
class TestNode {
  readonly kernel = new Kernel({
    plugins: [
      new ConfigurationPlugin(),
      new OwnershipFollowerPlugin(),
      new HeartbeatPlugin(),
      new VouchPlugin(),
      new ConfirmationPlugin(),
      new ClaimPlugin(),
    ],
  });

  constructor() {
    this.kernel.registerService(NODE_IDENTITY, {
      nodeId: "s1",
      role: Role.Scheduler,
      incarnation: "s1-1",
      availabilityZone: "tx-a",
      seedPeers: ["s2", "s3", "s4", "s5"].map((nodeId) => ({
        nodeId,
        address: "127.0.0.1:1",
      })),
    });
    this.kernel.advance(0);
    this.#readTable(START);
  }

  receive(now: number, from: string, message: PeerMessage): NodeEffect[] {
    const payload = { from, message };
    return [
      ...this.kernel.run(PEER_MESSAGE_RECEIVED, payload, now),
    ] as NodeEffect[];
  }

  vouch(now: number, from: string, change: Partial<PeerMessage> = {}): void {
    this.receive(now, from, {
      kind: PeerMessageKind.Vouch,
      tickMs: now - 50,
      isSure: true,
      newestVersion: 0,
      leaving: [],
      superseded: [],
      ...change,
    } as PeerMessage);
  }

  vouchedAt(now: number): number {
    let at = NaN;
    this.kernel.update(now, (update) => {
      at = majorityVouchedAt(update);
    });
    return at;
  }

  own(unit: string, epoch: number): void {
    this.kernel.update(START, (update) => {
      update.write(OWNED).units.set(unit, {
        epoch,
        version: 1,
        acquiredAt: 0,
        isFirstOwner: false,
      });
    });
  }

  #readTable(now: number): void {
    this.kernel.update(now, (update) => {
      update.write(CONFIGURATION).confirmedAt = now;
      update.write(OWNERSHIP).scannedAt = now;
    });
  }
}

const MAJORITY_CASES = [
  {
    name: "no scheduler has vouched",
    act: () => {},
    expected: -Infinity,
  },
  {
    name: "one peer and this node are no majority of five",
    act: (node: TestNode) => node.vouch(START + 100, "s2"),
    expected: -Infinity,
  },
  {
    name: "two peers and this node are a majority, as of the older request",
    act: (node: TestNode) => {
      node.vouch(START + 100, "s2");
      node.vouch(START + 400, "s3");
    },
    expected: START + 50,
  },
  {
    name: "a vouch that is not sure does not count",
    act: (node: TestNode) => {
      node.vouch(START + 100, "s2");
      node.vouch(START + 100, "s3", { isSure: false });
    },
    expected: -Infinity,
  },
  {
    name: "a vouch that reports a newer version does not count",
    act: (node: TestNode) => {
      node.vouch(START + 100, "s2");
      node.vouch(START + 100, "s3", { newestVersion: 1 });
    },
    expected: -Infinity,
  },
  {
    name: "an announced edit revokes this node's own vouch",
    act: (node: TestNode) => {
      node.vouch(START + 100, "s2");
      node.vouch(START + 100, "s3");
      node.receive(START + 200, "e1", {
        kind: PeerMessageKind.AnnounceEdit,
        announcementId: "e1/1",
        version: 1,
      });
    },
    expected: -Infinity,
  },
  {
    name: "a reply to an older request does not replace a newer one",
    act: (node: TestNode) => {
      node.vouch(START + 300, "s2");
      node.vouch(START + 300, "s3");
      node.vouch(START + 500, "s3", { tickMs: START + 10 });
    },
    expected: START + 250,
  },
  {
    // It would confirm the configuration and all units for hours.
    name: "replies to an earlier process, whose clock was ahead, do not count",
    act: (node: TestNode) => {
      const tickMs = START + 10_000_000;
      ["s2", "s3", "s4"].forEach((peer) =>
        node.vouch(START + 100, peer, { tickMs })
      );
    },
    expected: -Infinity,
  },
] as const;

const ANSWER_CASES = [
  {
    name: "vouches when it has been up for long enough and has nothing newer",
    act: () => {},
    expected: { isSure: true, newestVersion: 0, leaving: [], superseded: [] },
  },
  {
    name: "reports the version of an announced edit",
    act: (node: TestNode) =>
      node.receive(START, "e1", {
        kind: PeerMessageKind.AnnounceEdit,
        announcementId: "e1/1",
        version: 1,
      }),
    expected: { isSure: true, newestVersion: 1, leaving: [], superseded: [] },
  },
  {
    name: "reports a newer claim that another node sent",
    act: (node: TestNode) =>
      node.receive(START, "s3", {
        kind: PeerMessageKind.VouchRequest,
        tickMs: 1,
        owned: [{ unit: "home/storefront", epoch: 4 }],
      }),
    expected: {
      isSure: true,
      newestVersion: 0,
      leaving: [],
      superseded: [{ unit: "home/storefront", epoch: 4 }],
    },
  },
] as const;

describe("Vouching", () => {
  for (const { name, act, expected } of MAJORITY_CASES) {
    it(name, () => {
      const node = new TestNode();
      act(node);
      expect(node.vouchedAt(START + 600)).to.equal(expected);
    });
  }

  for (const { name, act, expected } of ANSWER_CASES) {
    it(name, () => {
      const node = new TestNode();
      node.kernel.advance(START + 1);
      act(node);
      const effects = node.receive(START + 2, "s2", {
        kind: PeerMessageKind.VouchRequest,
        tickMs: 7,
        owned: [{ unit: "home/storefront", epoch: 3 }],
      });
      const answers = effects.flatMap((effect) =>
        effect.kind === EffectKind.SendPeer &&
          effect.message.kind === PeerMessageKind.Vouch
          ? [effect.message]
          : []
      );
      expect(answers).to.deep.equal([
        { kind: PeerMessageKind.Vouch, tickMs: 7, ...expected },
      ]);
    });
  }

  it("adds the leaving instances that a vouch reports", () => {
    const node = new TestNode();
    node.vouch(START + 100, "s2", { leaving: ["i-2"] });
    expect([...node.kernel.read(SCHEDULERS).leaving]).to.deep.equal(["i-2"]);
  });

  it("gives up a unit for which a vouch reports a higher epoch", () => {
    const node = new TestNode();
    node.own("home/storefront", 3);
    node.vouch(START + 100, "s2", {
      superseded: [{ unit: "home/storefront", epoch: 4 }],
    });
    expect([...node.kernel.read(OWNED).units.keys()]).to.deep.equal([]);
  });
});
