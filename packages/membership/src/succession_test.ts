import { expect } from "chai";
import { CLAIMS } from "./claim_state.ts";
import { nextEpoch, reservedEpoch } from "./epochs.ts";
import { Kernel, Role } from "@mustardweir/kernel";
import { CONFIGURATION, ConfigurationPlugin } from "@mustardweir/configuration";
import {
  EffectKind,
  type Heartbeat,
  NODE_IDENTITY,
  type NodeEffect,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
} from "@mustardweir/protocol";
import {
  ClaimPlugin,
  ConfirmationPlugin,
  HeartbeatPlugin,
  OWNED,
  OWNERSHIP,
  OwnershipFollowerPlugin,
  sliceUnit,
  UNIT_SUPERSEDED,
  VouchPlugin,
} from "./mod.ts";

const UNIT = sliceUnit("tx-a/0");

/** Simulated time between two advances of the node, in milliseconds. */
const STEP_MS = 250;

const EPOCH_CASES = [
  { name: "the first owner", actual: nextEpoch(0), expected: 8 },
  { name: "a first successor", actual: reservedEpoch(8, 1), expected: 17 },
  { name: "a last successor", actual: reservedEpoch(8, 7), expected: 23 },
  {
    name: "a claim after an owner exceeds its successors' epochs",
    actual: nextEpoch(8),
    expected: 24,
  },
  {
    name: "a claim after a successor exceeds that one's successors' epochs",
    actual: nextEpoch(17),
    expected: 32,
  },
] as const;

/** Scheduler `s1` of three; `s2` owns the slice and `s3` is another peer. */
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
  now = 0;
  /** Number of times that this node became the owner of the slice. */
  acquisitions = 0;

  constructor(successors: readonly string[]) {
    this.kernel.registerService(NODE_IDENTITY, {
      nodeId: "s1",
      role: Role.Scheduler,
      incarnation: "s1-1",
      availabilityZone: "tx-a",
      seedPeers: ["s2", "s3"].map((nodeId) => ({ nodeId, address: "x:1" })),
    });
    this.kernel.update(0, (update) => {
      update.write(OWNERSHIP).rows.set(UNIT, {
        row: {
          owner: "s2",
          epoch: 8,
          successors: successors.map((nodeId, index) => ({
            nodeId,
            epoch: reservedEpoch(8, index + 1),
          })),
        },
        version: 1,
      });
      update.write(CONFIGURATION).confirmedAt = 0;
    });
  }

  /**
   * Advances the time while the table is down, with heartbeats of the `alive`
   * peers, and returns the effects. With `s3` alive a majority confirms `s1`.
   */
  pass(ms: number, alive: readonly string[]): NodeEffect[] {
    const effects: NodeEffect[] = [];
    const until = this.now + ms;
    while (this.now < until) {
      this.now += STEP_MS;
      for (const nodeId of alive) {
        this.#receiveHeartbeat(nodeId);
      }
      this.kernel.update(this.now, (update) => {
        if (alive.includes("s3")) {
          update.write(OWNED).confirmedAt = this.now;
        }
      });
      effects.push(...this.kernel.advance(this.now) as NodeEffect[]);
    }
    this.acquisitions +=
      effects.filter((effect) =>
        effect.kind === EffectKind.LogChange &&
        effect.message === "Unit acquired"
      ).length;
    return effects;
  }

  /** Reports a newer owner of the slice, as a worker that knows it does. */
  supersede(epoch: number): void {
    this.kernel.run(UNIT_SUPERSEDED, { unit: UNIT, epoch }, this.now);
  }

  /** Lets the peers rank before this node as owners of the slice. */
  preferPeers(): void {
    this.kernel.update(this.now, (update) => {
      const claims = update.write(CLAIMS);
      claims.needed = [{ unit: UNIT, availabilityZone: "tx-b" }];
      claims.neededVersion = update.read(CONFIGURATION).current.version;
    });
  }

  /** Makes this node the owner by the row. */
  own(): void {
    this.kernel.update(this.now, (update) => {
      update.write(OWNERSHIP).rows.set(UNIT, {
        row: { owner: "s1", epoch: 8, successors: [] },
        version: 1,
      });
      update.write(OWNED).units.set(UNIT, {
        epoch: 8,
        version: 1,
        acquiredAt: this.now,
        isFirstOwner: true,
      });
    });
  }

  readTable(): void {
    this.kernel.update(this.now, (update) => {
      update.write(OWNERSHIP).scannedAt = this.now;
    });
  }

  get epoch(): number | undefined {
    return this.kernel.read(OWNED).units.get(UNIT)?.epoch;
  }

  #receiveHeartbeat(nodeId: string): void {
    const heartbeat: Heartbeat = {
      kind: PeerMessageKind.Heartbeat,
      nodeId,
      incarnation: `${nodeId}-1`,
      availabilityZone: "tx-b",
      configurationVersion: 0,
      stopping: false,
      owned: nodeId === "s2" ? [{ unit: UNIT, epoch: 8 }] : [],
      superseded: [],
      slices: [],
      usage: [],
    };
    const payload = { from: nodeId, message: heartbeat };
    this.kernel.run(PEER_MESSAGE_RECEIVED, payload, this.now);
  }
}

const SUCCESSION_CASES = [
  {
    name: "an owner that sends heartbeats is not succeeded",
    successors: ["s1", "s3"],
    act: (node: TestNode) => node.pass(12_000, ["s2", "s3"]),
    expected: undefined,
  },
  {
    name: "the first successor takes over after the owner's timeout",
    successors: ["s1", "s3"],
    act: (node: TestNode) => node.pass(6_000, ["s3"]),
    expected: 17,
  },
  {
    name: "a later successor waits while the one before it is alive",
    successors: ["s3", "s1"],
    act: (node: TestNode) => node.pass(12_000, ["s3"]),
    expected: undefined,
  },
  {
    name: "a successor does not take over without a majority",
    successors: ["s1", "s3"],
    act: (node: TestNode) => node.pass(12_000, []),
    expected: undefined,
  },
  {
    name: "a node that is not a successor does not take over",
    successors: ["s3"],
    act: (node: TestNode) => node.pass(12_000, ["s3"]),
    expected: undefined,
  },
] as const;

const GIVING_UP_CASES = [
  {
    name: "a successor keeps a slice that it can't hand over",
    act: (node: TestNode) => {
      node.pass(6_000, ["s3"]);
      node.preferPeers();
      node.pass(15_000, ["s3"]);
    },
    expected: 17,
    acquisitions: 1,
  },
  {
    name: "an owner keeps a slice that it can't hand over",
    act: (node: TestNode) => {
      node.own();
      node.preferPeers();
      node.pass(15_000, ["s3"]);
    },
    expected: 8,
    acquisitions: 0,
  },
  {
    name: "an owner hands a slice over once the table can be read",
    act: (node: TestNode) => {
      node.own();
      node.preferPeers();
      node.pass(15_000, ["s3"]);
      node.readTable();
      node.pass(1_000, ["s3"]);
      node.readTable();
      node.pass(1_000, ["s3"]);
    },
    expected: undefined,
    acquisitions: 0,
  },
  {
    name: "a slice is not taken again under an epoch that was given up",
    act: (node: TestNode) => {
      node.pass(6_000, ["s3"]);
      node.supersede(18);
      node.pass(6_000, ["s3"]);
    },
    expected: undefined,
    acquisitions: 1,
  },
] as const;

describe("Epochs", () => {
  for (const { name, actual, expected } of EPOCH_CASES) {
    it(name, () => expect(actual).to.equal(expected));
  }
});

describe("Succession while the table is down", () => {
  for (const { name, successors, act, expected } of SUCCESSION_CASES) {
    it(name, () => {
      const node = new TestNode(successors);
      act(node);
      expect(node.epoch).to.equal(expected);
    });
  }

  // Guards against a slice that nobody owns until the table can be written, and
  // against starts that are numbered anew within an epoch.
  for (const { name, act, expected, acquisitions } of GIVING_UP_CASES) {
    it(name, () => {
      const node = new TestNode(["s1", "s3"]);
      act(node);
      expect(node.epoch).to.equal(expected);
      expect(node.acquisitions).to.equal(acquisitions);
    });
  }

  it("writes the row once the table can be read again", () => {
    const node = new TestNode(["s1", "s3"]);
    node.pass(6_000, ["s3"]);
    node.kernel.update(node.now, (update) => {
      update.write(OWNERSHIP).scannedAt = node.now;
    });
    const effects = node.pass(STEP_MS, ["s3"]);
    const rows = effects.flatMap((effect) =>
      effect.kind === EffectKind.CommitTable
        ? effect.transaction.puts.map((put) => JSON.parse(put.value))
        : []
    );
    expect(rows.map(({ owner, epoch }) => ({ owner, epoch }))).to.deep.equal([
      { owner: "s1", epoch: 17 },
    ]);
  });
});
