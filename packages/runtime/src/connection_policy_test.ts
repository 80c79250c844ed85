import { expect } from "chai";
import { callerLimits, peerLimits, probeLimits } from "./client_limits.ts";
import {
  type ClientLimits,
  type ConnectionLoad,
  decideRead,
  isStalled,
  isUnread,
  LongestUnread,
  MostHeldLongest,
  OldestWithoutCall,
  ReadDecision,
  type VictimPolicy,
} from "./connection_policy.ts";

const LIMITS: ClientLimits = {
  maxBytes: 1_000,
  maxCalls: 10,
  sliceBytes: 64,
  maxCallsPerConnection: 4,
  maxUnsentBytes: 100,
  maxCallsPerInterval: 5,
  maxConnections: 3,
  bodyStallMs: 1_000,
  unreadMs: 2_000,
};
const IDLE: ConnectionLoad = {
  openedMs: 0,
  servedCalls: 0,
  costMs: 0,
  heldBytes: 0,
  heldSinceMs: 0,
  openCalls: 0,
  waitingCalls: 0,
  isReceiving: false,
  unsentBytes: 0,
  sentMs: 0,
  isEnding: false,
};
const NOW = 10_000;

const {
  Read,
  ReadLittle,
  WaitForConnection,
  WaitForAny,
  WaitForRate,
  WaitForTurn,
} = ReadDecision;
const READS: readonly [
  string,
  Partial<ConnectionLoad>,
  number,
  number,
  ReadDecision,
][] = [
  ["nothing open", {}, 0, 0, Read],
  ["one call less than the bound", { openCalls: 3 }, 3, 0, Read],
  ["as many calls as the bound", { openCalls: 4 }, 4, 0, WaitForConnection],
  [
    "as many unsent bytes as the bound",
    { openCalls: 1, unsentBytes: 100 },
    1,
    0,
    WaitForConnection,
  ],
  ["all calls of the listener open", {}, 10, 0, WaitForAny],
  ["both bounds reached", { openCalls: 4 }, 10, 0, WaitForConnection],
  [
    "a body while all calls are open",
    { openCalls: 1, isReceiving: true },
    10,
    0,
    ReadLittle,
  ],
  ["a body beyond the rate", { openCalls: 1, isReceiving: true }, 1, 5, Read],
  [
    "a body behind as many calls as the bound",
    { openCalls: 4, isReceiving: true },
    4,
    0,
    WaitForConnection,
  ],
  ["costly input beyond the turn", { costMs: 0.5 }, 0, 0, WaitForTurn],
  [
    "costly input of a body beyond the turn",
    { costMs: 1, isReceiving: true },
    0,
    0,
    WaitForTurn,
  ],
  ["input that is not costly", { costMs: 0.49 }, 9, 0, Read],
  ["a later call beyond the rate", { servedCalls: 1 }, 0, 5, WaitForRate],
  ["the first call beyond the rate", {}, 0, 5, Read],
  ["a second open call beyond the rate", { openCalls: 1 }, 1, 5, WaitForRate],
];

const VICTIMS: readonly [
  string,
  VictimPolicy,
  readonly Partial<ConnectionLoad>[],
  number | undefined,
][] = [
  ["nothing is held", new MostHeldLongest(), [{}, {}], undefined],
  ["one holds more", new MostHeldLongest(), [{ heldBytes: 1 }, {
    heldBytes: 9,
  }], 1],
  ["one holds as much for longer", new MostHeldLongest(), [
    { heldBytes: 5, heldSinceMs: 9_000 },
    { heldBytes: 5, heldSinceMs: 1_000 },
  ], 1],
  ["one has just begun a larger body", new MostHeldLongest(), [
    { heldBytes: 200_000, heldSinceMs: 9_990 },
    { heldBytes: 100_000, heldSinceMs: 1_000 },
  ], 1],
  ["the one that holds most is ending", new MostHeldLongest(), [
    { heldBytes: 9, isEnding: true },
    { heldBytes: 1 },
  ], 1],
  ["the oldest has a call", new OldestWithoutCall(), [
    { openCalls: 1, waitingCalls: 1 },
    { openedMs: 5 },
  ], 1],
  ["the oldest sends a body", new OldestWithoutCall(), [
    { openCalls: 1, waitingCalls: 1, isReceiving: true },
    { openedMs: 5 },
  ], 0],
  [
    "one sends a body after a call that was passed on",
    new OldestWithoutCall(),
    [
      { openCalls: 2, waitingCalls: 2, isReceiving: true },
    ],
    undefined,
  ],
  [
    "one sends a body while the response before is being sent",
    new OldestWithoutCall(),
    [
      {
        openCalls: 2,
        waitingCalls: 1,
        isReceiving: true,
        sentMs: NOW,
      },
    ],
    undefined,
  ],
  ["an idle client was served before", new OldestWithoutCall(), [
    { servedCalls: 3 },
    { openedMs: 9_000 },
  ], 1],
  ["one reads no response", new LongestUnread(), [
    {},
    { openCalls: 2, waitingCalls: 1 },
    { openCalls: 2 },
  ], 2],
  ["a response was sent recently", new LongestUnread(), [
    { openCalls: 2, sentMs: 9_000 },
  ], undefined],
];

const STALLS = [
  { name: "a body without progress", grownBytes: 0, forMs: 1_000, is: true },
  {
    name: "a body with little progress",
    grownBytes: 511,
    forMs: 1_000,
    is: true,
  },
  { name: "a body on a slow link", grownBytes: 512, forMs: 1_000, is: false },
  { name: "a body that has just begun", grownBytes: 0, forMs: 999, is: false },
];

const UNREAD = [
  { name: "no call", load: {}, is: false },
  { name: "an unread response", load: { openCalls: 1 }, is: true },
  {
    name: "a call without an answer",
    load: { openCalls: 1, waitingCalls: 1 },
    is: false,
  },
  {
    name: "a response that is being read",
    load: { openCalls: 1, sentMs: 8_001 },
    is: false,
  },
];

const MB = 1_024 * 1_024;
const DERIVED = [
  {
    name: "nothing is known",
    of: {},
    maxBytes: 64 * MB,
    maxConnections: 10_000,
  },
  {
    name: "memory is short",
    of: { memoryMb: 240 },
    maxBytes: 30 * MB,
    maxConnections: 1_920,
  },
  {
    name: "descriptors are short",
    of: { maxFds: 1_536 },
    maxBytes: 64 * MB,
    maxConnections: 928,
  },
  {
    name: "descriptors are very short",
    of: { maxFds: 64 },
    maxBytes: 64 * MB,
    maxConnections: 24,
  },
  {
    name: "more are reserved",
    of: { maxFds: 1_536, reservedFds: 1_400 },
    maxBytes: 64 * MB,
    maxConnections: 40,
  },
  {
    name: "all are set",
    of: { memoryMb: 240, maxBytes: 7, maxConnections: 9 },
    maxBytes: 7,
    maxConnections: 9,
  },
];

const PEERS = [
  {
    name: "nothing is known",
    of: {},
    maxReadBytes: 64 * MB,
    maxConnections: 2_000,
  },
  {
    name: "memory is short",
    of: { memoryMb: 64 },
    maxReadBytes: 16 * MB,
    maxQueuedBytes: 2 * MB,
  },
  { name: "descriptors are short", of: { maxFds: 1_024 }, maxConnections: 128 },
];

describe("limits of clients", () => {
  for (const [name, load, openCalls, recentCalls, decision] of READS) {
    it(`decide to ${decision} with ${name}`, () => {
      const totals = { openCalls, recentCalls, costlyMs: 5 };
      expect(decideRead({ ...IDLE, ...load }, totals, LIMITS))
        .to.equal(decision);
    });
  }

  for (const [name, policy, loads, victim] of VICTIMS) {
    it(`reject ${victim ?? "none"} by ${policy.kind} if ${name}`, () => {
      const connections = loads.map((load) => ({ ...IDLE, ...load }));
      const chosen = policy.choose(connections, NOW);
      expect(chosen && connections.indexOf(chosen)).to.equal(victim);
    });
  }

  for (const { name, is, ...progress } of STALLS) {
    it(`${is ? "end" : "keep"} ${name}`, () => {
      expect(isStalled(progress, LIMITS)).to.equal(is);
    });
  }

  for (const { name, load, is } of UNREAD) {
    it(`${is ? "end" : "keep"} a connection with ${name}`, () => {
      expect(isUnread({ ...IDLE, ...load }, NOW, LIMITS)).to.equal(is);
    });
  }

  for (const { name, of, ...expected } of DERIVED) {
    it(`follow from the machine if ${name}`, () => {
      expect(callerLimits(of)).to.include(expected);
    });
  }

  for (const { name, of, ...expected } of PEERS) {
    it(`of peers follow from the machine if ${name}`, () => {
      expect(peerLimits(of)).to.include(expected);
    });
  }

  it("of a process stay within its descriptors, with all listeners", () => {
    for (const maxFds of [64, 128, 256, 1_024, 4_096]) {
      const callers = callerLimits({ maxFds }).maxConnections;
      const probes = 2 * probeLimits({ maxFds }).maxConnections;
      expect(callers + probes).to.be.at.most(
        maxFds - Math.min(512, maxFds / 2),
      );
    }
  });
});
