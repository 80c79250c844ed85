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

/** The time at which the scheduler under test has been up for long enough. */
const START = 2 * WRITE_LIFETIME_MS;

/** A scheduler among five, driven by hand. */
class HandDriven {
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
    name: "nobody has answered",
    act: () => {},
    expected: -Infinity,
  },
  {
    name: "one of five and this node are too few",
    act: (node: HandDriven) => node.vouch(START + 100, "s2"),
    expected: -Infinity,
  },
  {
    name: "two of five and this node are a majority, as of the older tick",
    act: (node: HandDriven) => {
      node.vouch(START + 100, "s2");
      node.vouch(START + 400, "s3");
    },
    expected: START + 50,
  },
  {
    name: "an answer that is not sure counts for nothing",
    act: (node: HandDriven) => {
      node.vouch(START + 100, "s2");
      node.vouch(START + 100, "s3", { isSure: false });
    },
    expected: -Infinity,
  },
  {
    name: "an answer that knows of a newer version counts for nothing",
    act: (node: HandDriven) => {
      node.vouch(START + 100, "s2");
      node.vouch(START + 100, "s3", { newestVersion: 1 });
    },
    expected: -Infinity,
  },
  {
    name: "an announced edit takes this node's own word back",
    act: (node: HandDriven) => {
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
    name: "a late answer does not make an older one newer",
    act: (node: HandDriven) => {
      node.vouch(START + 300, "s2");
      node.vouch(START + 300, "s3");
      node.vouch(START + 500, "s3", { tickMs: START + 10 });
    },
    expected: START + 250,
  },
] as const;

const ANSWER_CASES = [
  {
    name: "vouches when it has been up for long and knows of nothing newer",
    act: () => {},
    expected: { isSure: true, newestVersion: 0, leaving: [], superseded: [] },
  },
  {
    name: "names an announced edit",
    act: (node: HandDriven) =>
      node.receive(START, "e1", {
        kind: PeerMessageKind.AnnounceEdit,
        announcementId: "e1/1",
        version: 1,
      }),
    expected: { isSure: true, newestVersion: 1, leaving: [], superseded: [] },
  },
  {
    name: "names a newer claim that it was told of",
    act: (node: HandDriven) =>
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
      const node = new HandDriven();
      act(node);
      expect(node.vouchedAt(START + 600)).to.equal(expected);
    });
  }

  for (const { name, act, expected } of ANSWER_CASES) {
    it(name, () => {
      const node = new HandDriven();
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

  it("takes over which instances leave", () => {
    const node = new HandDriven();
    node.vouch(START + 100, "s2", { leaving: ["i-2"] });
    expect([...node.kernel.read(SCHEDULERS).leaving]).to.deep.equal(["i-2"]);
  });

  it("gives a unit up that a vouching peer knows a newer owner of", () => {
    const node = new HandDriven();
    node.own("home/storefront", 3);
    node.vouch(START + 100, "s2", {
      superseded: [{ unit: "home/storefront", epoch: 4 }],
    });
    expect([...node.kernel.read(OWNED).units.keys()]).to.deep.equal([]);
  });
});
