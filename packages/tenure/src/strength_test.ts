import type { KnownNode } from "@mustardweir/replica";
import { expect } from "chai";
import { orderCandidates, selectStrongest, strengthOf } from "./strength.ts";

interface StrengthCase {
  readonly name: string;
  readonly limits: { readonly cores?: number; readonly linkMbps?: number };
  readonly strength: number;
}

const STRENGTHS: readonly StrengthCase[] = [
  { name: "no limits", limits: {}, strength: 1 },
  {
    name: "a fast link",
    limits: { cores: 0.675, linkMbps: 1_000 },
    strength: 0.675,
  },
  { name: "a slow link", limits: { cores: 1.35, linkMbps: 20 }, strength: 0.5 },
  { name: "a known link only", limits: { linkMbps: 10 }, strength: 0.25 },
];

describe("strength of a node", () => {
  for (const { name, limits, strength } of STRENGTHS) {
    it(`with ${name} is ${strength}`, () => {
      expect(strengthOf(limits)).to.equal(strength);
    });
  }
});

function node(
  nodeId: string,
  zone: string,
  strength: number | undefined,
): KnownNode {
  return {
    nodeId,
    zone,
    address: "",
    incarnation: "",
    unixOffsetMs: 0,
    seenMs: 0,
    ...(strength === undefined ? {} : { strength }),
  };
}

interface OrderCase {
  readonly name: string;
  readonly nodes: readonly KnownNode[];
  readonly order: readonly string[];
  readonly strongest: readonly string[];
}

const ORDERS: readonly OrderCase[] = [
  { name: "no nodes", nodes: [], order: [], strongest: [] },
  {
    name: "strong nodes before weak ones",
    nodes: [node("a", "z1", 0.3), node("b", "z1", 1.3), node("c", "z2", 0.3)],
    order: ["b", "a", "c"],
    strongest: ["b"],
  },
  {
    name: "equal nodes of different zones by turns",
    nodes: [
      node("a1", "z1", 1),
      node("a2", "z1", 1),
      node("b1", "z2", 1),
      node("b2", "z2", 1),
    ],
    order: ["a1", "b1", "a2", "b2"],
    strongest: ["a1", "a2", "b1", "b2"],
  },
  {
    name: "nodes of an earlier version as if without limits",
    nodes: [node("a", "z1", undefined), node("b", "z1", 0.5)],
    order: ["a", "b"],
    strongest: ["a"],
  },
];

describe("candidates for the domain", () => {
  for (const { name, nodes, order, strongest } of ORDERS) {
    it(`are ordered with ${name}`, () => {
      const ids = (list: readonly KnownNode[]) => list.map((n) => n.nodeId);
      expect(ids(orderCandidates(nodes))).to.deep.equal(order);
      expect(ids(selectStrongest(nodes))).to.deep.equal(strongest);
    });
  }
});
