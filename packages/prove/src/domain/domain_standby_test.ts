import { expect } from "chai";
import { DomainCluster, type NodeProfile } from "./domain_cluster.ts";
import { MANY_NODES } from "./domain_scenarios.ts";

const STRONG_CORES = 1.35;
const WEAK_CORES = 0.3;
/** Time by which the first owner is chosen, in milliseconds. */
const SETTLED_MS = 8_000;
/** Time by which standbys that were lost are replaced, in milliseconds. */
const REPLACED_MS = 25_000;
const COPIES = 4;

const strong = (index: number) => index >= MANY_NODES - COPIES;
const STRONG_IDS = ["n6", "n7", "n8", "n9"];

interface StandbyCase {
  readonly name: string;
  readonly profileOf: (index: number) => NodeProfile;
  /** Injects a fault once the first owner is chosen. */
  readonly injectFault?: (cluster: DomainCluster) => void;
  readonly afterMs: number;
  /** Most nodes that keep a copy in the end, and whether only strong ones. */
  readonly maxCopies: number;
  readonly onlyStrong: boolean;
}

const CASES: readonly StandbyCase[] = [
  {
    name: "all nodes start together",
    profileOf: (index) => ({
      cores: strong(index) ? STRONG_CORES : WEAK_CORES,
    }),
    afterMs: SETTLED_MS,
    maxCopies: COPIES,
    onlyStrong: true,
  },
  {
    name: "the strong nodes start last",
    profileOf: (index) =>
      strong(index)
        ? { cores: STRONG_CORES, startDelayMs: 1_500 }
        : { cores: WEAK_CORES },
    afterMs: SETTLED_MS,
    maxCopies: COPIES,
    onlyStrong: true,
  },
  {
    name: "all nodes are killed and start again",
    profileOf: (index) => ({
      cores: strong(index) ? STRONG_CORES : WEAK_CORES,
    }),
    injectFault: (cluster) => cluster.nodeIds.forEach((id) => cluster.kill(id)),
    afterMs: SETTLED_MS,
    maxCopies: COPIES,
    onlyStrong: true,
  },
  {
    name: "no standby can publish a summary for a while",
    profileOf: (index) => ({
      cores: strong(index) ? STRONG_CORES : WEAK_CORES,
    }),
    injectFault: ({ store: { faults }, clock }) => {
      STRONG_IDS.forEach((id) => faults.cutFromDomain.add(id));
      clock.after(SETTLED_MS - 1_000, () => faults.cutFromDomain.clear());
    },
    afterMs: SETTLED_MS,
    maxCopies: COPIES,
    onlyStrong: true,
  },
  {
    name: "all standbys stay down",
    profileOf: (index) => ({
      cores: strong(index) ? STRONG_CORES : WEAK_CORES,
    }),
    injectFault: (cluster) =>
      STRONG_IDS.forEach((id) => cluster.kill(id, 10 * REPLACED_MS)),
    afterMs: REPLACED_MS,
    maxCopies: COPIES,
    onlyStrong: false,
  },
];

describe("copies of the records", () => {
  for (const testCase of CASES) {
    it(`are few when ${testCase.name}`, () => {
      const cluster = new DomainCluster({
        seed: 1,
        nodes: MANY_NODES,
        profileOf: testCase.profileOf,
      });
      const { clock } = cluster;
      clock.runUntil(SETTLED_MS);
      testCase.injectFault?.(cluster);
      clock.runUntil(clock.now + testCase.afterMs);
      const { standbys, owner } = cluster;
      expect(standbys.length).to.be.within(1, testCase.maxCopies);
      expect(standbys).to.include(owner);
      if (testCase.onlyStrong) {
        expect(standbys).to.deep.equal(STRONG_IDS);
      }
    });
  }
});
