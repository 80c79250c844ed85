import { expect } from "chai";
import { hasOwnerEnded } from "./mod.ts";

interface OwnerEndCase {
  readonly name: string;
  /** Incarnation and address in the tenure record. */
  readonly record: { readonly incarnation: string; readonly address?: string };
  /** Those of the process that listens. */
  readonly later: { readonly incarnation: string; readonly address: string };
  readonly hasEnded: boolean;
}

const LATER = { incarnation: "b", address: "10.0.0.1:7180" };

const CASES: readonly OwnerEndCase[] = [
  {
    name: "has ended if a later process listens at its address",
    record: { incarnation: "a", address: LATER.address },
    later: LATER,
    hasEnded: true,
  },
  {
    name: "may run if a later process listens at another host",
    record: { incarnation: "a", address: "10.0.0.2:7180" },
    later: LATER,
    hasEnded: false,
  },
  {
    name: "may run if a later process listens at another port",
    record: { incarnation: "a", address: "10.0.0.1:7181" },
    later: LATER,
    hasEnded: false,
  },
  {
    name: "may run if neither process listens",
    record: { incarnation: "a", address: "" },
    later: { incarnation: "b", address: "" },
    hasEnded: false,
  },
  {
    name: "may run if it is the same process",
    record: LATER,
    later: LATER,
    hasEnded: false,
  },
  {
    name: "has ended if an earlier version recorded it without an address",
    record: { incarnation: "a" },
    later: LATER,
    hasEnded: true,
  },
];

// Guards against a later process of a node that is taken for proof of the end of
// an earlier one that still runs.
describe("the owner by a tenure record", () => {
  for (const { name, record, later, hasEnded } of CASES) {
    it(name, () => {
      expect(hasOwnerEnded(record, later)).to.equal(hasEnded);
    });
  }
});
