import { CommandPriority, Kernel } from "@mustardweir/kernel";
import { NO_RESOURCES, type WorkerInfo, WorkerState } from "@mustardweir/model";
import {
  ChangeKind,
  EffectKind,
  type NodeEffect,
  Source,
  type SourceChange,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { applyChange, applyChanges } from "./apply.ts";
import { recordKey, RecordKind } from "./record_keys.ts";
import { REPLICA, WORKER_CHANGED } from "./replica.ts";
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

const WORKER: WorkerInfo = {
  id: "w1",
  incarnation: 7,
  pool: "ovens",
  address: "w1:1",
  zone: "z",
  state: WorkerState.Ready,
  capacity: { ...NO_RESOURCES, cpuMillis: 4_000, memoryMb: 8_000 },
  labels: ["a", "r1"],
  rack: "r1",
};

it("a record of an upgraded node in its earlier part is not used", () => {
  const kernel = new Kernel({ plugins: [new ReplicaPlugin()] });
  const records = [
    { part: "nodes-3", version: 9, incarnation: "new" },
    { part: "nodes", version: 4, incarnation: "old" },
  ];
  for (const { part, version, incarnation } of records) {
    const value = JSON.stringify({
      address: "n1:1",
      incarnation,
      zone: "z",
      unixOffsetMs: 0,
    });
    kernel.update(NOW_MS, (update) =>
      applyChange(update, {
        kind: ChangeKind.Record,
        record: { part, key: `node/${NODE}`, version, value },
      }));
  }
  expect(kernel.read(REPLICA).nodes.get(NODE)?.incarnation).to.equal("new");
});

interface RegistrationCase {
  readonly name: string;
  /** What the worker registers after {@link WORKER}. */
  readonly next: WorkerInfo | undefined;
  /** Number of changes that the other plug-ins hear of, the first included. */
  readonly changes: number;
}

const REGISTRATIONS: readonly RegistrationCase[] = [
  { name: "a renewal", next: structuredClone(WORKER), changes: 1 },
  {
    name: "a new incarnation",
    next: { ...WORKER, incarnation: 8 },
    changes: 2,
  },
  { name: "another address", next: { ...WORKER, address: "w1:2" }, changes: 2 },
  {
    name: "a drain",
    next: { ...WORKER, state: WorkerState.Draining },
    changes: 2,
  },
  {
    name: "less room",
    next: { ...WORKER, capacity: { ...WORKER.capacity, memoryMb: 4_000 } },
    changes: 2,
  },
  {
    name: "other labels",
    next: { ...WORKER, labels: ["a", "r2"] },
    changes: 2,
  },
  { name: "its removal", next: undefined, changes: 2 },
];

describe("a worker's registration followed by", () => {
  for (const { name, next, changes } of REGISTRATIONS) {
    it(`${name} is told ${changes} times`, () => {
      const kernel = new Kernel({ plugins: [new ReplicaPlugin()] });
      let told = 0;
      kernel.registerCommand(
        WORKER_CHANGED,
        () => void told++,
        CommandPriority.Normal,
      );
      for (const worker of [WORKER, next]) {
        kernel.update(NOW_MS, (update) =>
          applyChange(update, {
            kind: ChangeKind.Worker,
            id: WORKER.id,
            ...(worker === undefined ? {} : { worker }),
          }));
      }
      expect(told).to.equal(changes);
      expect(kernel.read(REPLICA).workers.get(WORKER.id)).to.deep.equal(next);
    });
  }
});

const READABLE: SourceChange = {
  kind: ChangeKind.Worker,
  id: WORKER.id,
  worker: WORKER,
};

function unreadable(key: string, reason = "odd"): SourceChange {
  return { kind: ChangeKind.Unreadable, key, reason };
}

interface UnreadableCase {
  readonly name: string;
  readonly source: Source;
  readonly changes: readonly SourceChange[];
  /** Whether the worker is in use after the changes. */
  readonly isUsed: boolean;
}

const UNREADABLE_CASES: readonly UnreadableCase[] = [
  {
    name: "is not used if its entry can't be read any more",
    source: Source.Workers,
    changes: [READABLE, unreadable(WORKER.id)],
    isUsed: false,
  },
  {
    name: "is used again once its entry can be read",
    source: Source.Workers,
    changes: [READABLE, unreadable(WORKER.id), READABLE],
    isUsed: true,
  },
  {
    name: "is used if the entry of another worker can't be read",
    source: Source.Workers,
    changes: [READABLE, unreadable("w2")],
    isUsed: true,
  },
  {
    name: "is used if the operator's row of that name can't be read",
    source: Source.Operator,
    changes: [READABLE, unreadable(WORKER.id)],
    isUsed: true,
  },
];

describe("a worker", () => {
  for (const { name, source, changes, isUsed } of UNREADABLE_CASES) {
    it(name, () => {
      const kernel = new Kernel({ plugins: [new ReplicaPlugin()] });
      kernel.update(
        NOW_MS,
        (update) => applyChanges(update, source, changes),
      );
      const { workers, departed } = kernel.read(REPLICA);
      expect(workers.has(WORKER.id)).to.equal(isUsed);
      // Its tasks are still looked after.
      expect(departed.has(WORKER.id)).to.equal(!isUsed);
    });
  }
});

interface LogCase {
  readonly name: string;
  /** Changes that are read in each round. */
  readonly changes: readonly SourceChange[];
  readonly rounds: number;
  readonly intervalMs: number;
  readonly lines: number;
}

const LOG_CASES: readonly LogCase[] = [
  {
    name: "an entry that its writer renews for minutes is logged once",
    changes: [unreadable("w1")],
    rounds: 200,
    intervalMs: 1_500,
    lines: 1,
  },
  {
    name: "an entry that stays for an hour is logged every ten minutes",
    changes: [unreadable("w1")],
    rounds: 60,
    intervalMs: 60_000,
    lines: 6,
  },
  {
    name: "a record that its writer renews for minutes is logged once",
    changes: [{
      kind: ChangeKind.Record,
      record: { part: "p", key: "session/w1", version: 1, value: "{" },
    }],
    rounds: 200,
    intervalMs: 1_500,
    lines: 1,
  },
  {
    name: "many entries at once are logged at a bounded rate",
    changes: Array.from({ length: 500 }, (_, index) => unreadable(`w${index}`)),
    rounds: 20,
    intervalMs: 1_500,
    lines: 30,
  },
];

/** Maximum length of the reason in a log line, in characters. */
const MAX_REASON_LENGTH = 200;

function loggedIn(effects: readonly unknown[]) {
  return (effects as readonly NodeEffect[]).filter((effect) =>
    effect.kind === EffectKind.LogChange
  );
}

describe("entries that can't be read:", () => {
  for (const { name, changes, rounds, intervalMs, lines } of LOG_CASES) {
    it(name, () => {
      const kernel = new Kernel({ plugins: [new ReplicaPlugin()] });
      let logged = 0;
      let counted = 0;
      for (let round = 0; round < rounds; round++) {
        const effects = kernel.update(
          round * intervalMs,
          (update) => applyChanges(update, Source.Workers, changes),
        );
        logged += loggedIn(effects).length;
        counted += effects.length - loggedIn(effects).length;
      }
      expect(logged).to.equal(lines);
      expect(counted).to.equal(rounds * changes.length);
    });
  }

  const odd = Object.fromEntries(
    Array.from({ length: 2_000 }, (_, index) => [`k${index}`, index]),
  );
  const oddKey = { ["k".repeat(50_000)]: "x" };
  const longValues = [
    {
      key: "progress/j1",
      value: { state: "odd", marks: odd, checkpoints: {} },
    },
    {
      key: "summary/owner",
      value: { nodeId: "n", epoch: 1, waiting: oddKey, largestWorkers: {} },
    },
    { key: "job/j1", value: { spec: { stages: Object.values(odd) } } },
  ];
  for (const { key, value } of longValues) {
    it(`the log line on ${key} is short, whatever its value`, () => {
      const kernel = new Kernel({ plugins: [new ReplicaPlugin()] });
      const record = {
        part: "p",
        key,
        version: 1,
        value: JSON.stringify(value),
      };
      const effects = kernel.update(
        NOW_MS,
        (update) => applyChange(update, { kind: ChangeKind.Record, record }),
      );
      const [line] = loggedIn(effects);
      expect(line).to.have.nested.property("fields.reason")
        .with.length.within(1, MAX_REASON_LENGTH);
    });
  }
});

const SESSION = {
  address: "w1:1",
  pool: "ovens",
  incarnation: 7,
  recorded: 4,
  isIdle: false,
};

const SESSION_CASES = [
  { name: "a good record", value: SESSION, isUsed: true },
  ...[1e308, 2 ** 53, -1e308].flatMap((amount) => [
    {
      name: `${amount} recorded ends`,
      value: { ...SESSION, recorded: amount },
      isUsed: false,
    },
    {
      name: `the incarnation ${amount}`,
      value: { ...SESSION, incarnation: amount },
      isUsed: false,
    },
  ]),
];

describe("the ends of a worker are counted from", () => {
  for (const { name, value, isUsed } of SESSION_CASES) {
    it(`${name}${isUsed ? "" : ": not"}`, () => {
      const kernel = new Kernel({ plugins: [new ReplicaPlugin()] });
      kernel.update(NOW_MS, (update) =>
        applyChange(update, {
          kind: ChangeKind.Record,
          record: {
            ...recordKey(RecordKind.Session, WORKER.id),
            version: 1,
            value: JSON.stringify(value),
          },
        }));
      expect(kernel.read(REPLICA).sessions.has(WORKER.id)).to.equal(isUsed);
    });
  }
});
