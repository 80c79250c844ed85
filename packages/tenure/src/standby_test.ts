import type { KnownNode } from "@mustardweir/replica";
import { expect } from "chai";
import { listAppointable } from "./standby.ts";

interface NodeSpec {
  readonly strength: number;
  readonly isStandby?: boolean;
}

const STRONG = { strength: 1.35, isStandby: false };
const WEAK = { strength: 0.3, isStandby: false };
const STRONG_STANDBY = { strength: 1.35, isStandby: true };
const WEAK_STANDBY = { strength: 0.3, isStandby: true };

interface AppointCase {
  readonly name: string;
  /** Nodes with the ids n0, n1, ... in zones of their own. */
  readonly nodes: readonly NodeSpec[];
  readonly appointed: readonly string[];
}

const CASES: readonly AppointCase[] = [
  { name: "none of no nodes", nodes: [], appointed: [] },
  {
    name: "all nodes of a small fleet",
    nodes: [WEAK, WEAK, STRONG],
    appointed: ["n2", "n0", "n1"],
  },
  {
    name: "the four strongest",
    nodes: [WEAK, STRONG, STRONG, STRONG, STRONG, STRONG],
    appointed: ["n1", "n2", "n3", "n4"],
  },
  {
    name: "none while four as strong keep a copy",
    nodes: [
      STRONG,
      STRONG_STANDBY,
      STRONG_STANDBY,
      STRONG_STANDBY,
      STRONG_STANDBY,
    ],
    appointed: [],
  },
  {
    name: "one for a copy that was lost",
    nodes: [STRONG, STRONG_STANDBY, STRONG_STANDBY, STRONG_STANDBY, STRONG],
    appointed: ["n0"],
  },
  {
    name: "strong nodes that came back, though weak ones keep copies",
    nodes: [STRONG, WEAK_STANDBY, WEAK_STANDBY, WEAK_STANDBY, WEAK_STANDBY],
    appointed: ["n0"],
  },
  {
    name: "none while nodes of an earlier version keep all copies",
    nodes: [WEAK, ...Array(4).fill({ strength: 1.35 })],
    appointed: [],
  },
];

describe("nodes that are to keep a copy of the records", () => {
  for (const { name, nodes, appointed } of CASES) {
    it(`are ${name}`, () => {
      const known = nodes.map((spec, index): KnownNode => ({
        nodeId: `n${index}`,
        zone: `z${index}`,
        address: "",
        incarnation: "",
        unixOffsetMs: 0,
        seenMs: 0,
        ...spec,
      }));
      expect(listAppointable(known).map(({ nodeId }) => nodeId))
        .to.deep.equal(appointed);
    });
  }
});
