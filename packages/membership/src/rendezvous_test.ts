import { expect } from "chai";
import { type Candidate, rankCandidates } from "./rendezvous.ts";

const NODES: readonly Candidate[] = ["s1", "s2", "s3", "s4", "s5", "s6"].map(
  (nodeId, index) => ({ nodeId, availabilityZone: `tx-${index % 3}` }),
);

const UNITS = Array.from({ length: 300 }, (_, index) => `home/team-${index}`);

function firstOf(candidates: readonly Candidate[], unit: string): string {
  return rankCandidates(candidates, { unit })[0]?.nodeId ?? "";
}

const CASES = [
  {
    name: "the order of the candidates does not matter",
    check: () => {
      const reversed = [...NODES].reverse();
      for (const unit of UNITS) {
        expect(firstOf(reversed, unit)).to.equal(firstOf(NODES, unit));
      }
    },
  },
  {
    name: "a node that leaves moves only its own units",
    check: () => {
      const rest = NODES.filter(({ nodeId }) => nodeId !== "s3");
      for (const unit of UNITS) {
        const before = firstOf(NODES, unit);
        if (before !== "s3") {
          expect(firstOf(rest, unit)).to.equal(before);
        }
      }
    },
  },
  {
    name: "each node ranks first for a fair share of the units",
    check: () => {
      for (const { nodeId } of NODES) {
        const part = UNITS.filter((unit) => firstOf(NODES, unit) === nodeId);
        expect(part.length).to.be.within(25, 80);
      }
    },
  },
  {
    name: "candidates in the zone rank first",
    check: () => {
      for (const unit of UNITS) {
        const ranked = rankCandidates(NODES, {
          unit,
          availabilityZone: "tx-1",
        });
        expect(ranked.slice(0, 2).map((c) => c.availabilityZone))
          .to.deep.equal(["tx-1", "tx-1"]);
      }
    },
  },
] as const;

describe("rankCandidates", () => {
  for (const { name, check } of CASES) {
    it(name, check);
  }
});
