import { NO_RESOURCES, type Resources } from "@mustardweir/model";
import { expect } from "chai";
import { UnplaceableSizes } from "./unplaceable_sizes.ts";

interface UnplaceableCase {
  readonly name: string;
  readonly act: (unplaceable: UnplaceableSizes) => void;
  readonly size: Resources;
  readonly covers: boolean;
}

const UNPLACEABLE_CASES: readonly UnplaceableCase[] = [
  { name: "no size at first", act: () => {}, size: size(9), covers: false },
  {
    name: "a size larger than one that fits nowhere",
    act: (unplaceable) => unplaceable.add(size(2)),
    size: size(3),
    covers: true,
  },
  {
    name: "no size that is smaller in one dimension",
    act: (unplaceable) => unplaceable.add(size(2, 8)),
    size: size(3, 7),
    covers: false,
  },
  {
    name: "no size after it was cleared",
    act: (unplaceable) => {
      unplaceable.add(size(2));
      unplaceable.clear();
    },
    size: size(3),
    covers: false,
  },
];

describe("UnplaceableSizes", () => {
  for (const { name, act, size, covers } of UNPLACEABLE_CASES) {
    it(`covers ${name}`, () => {
      const unplaceable = new UnplaceableSizes();
      act(unplaceable);
      expect(unplaceable.covers(size)).to.equal(covers);
    });
  }
});

function size(cpuMillis: number, memoryMb = 0): Resources {
  return { ...NO_RESOURCES, cpuMillis, memoryMb };
}
