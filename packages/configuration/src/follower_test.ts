import { EffectKind, type ScanTableEffect } from "@mustardweir/protocol";
import { expect } from "chai";
import { Bench, type BenchCase } from "./hand_driven_test.ts";
import { isConfirmed } from "./mod.ts";

const FOLLOWER_CASES: readonly BenchCase[] = [
  {
    name: "confirms an empty configuration",
    act: (bench) => bench.advance(500),
    version: 0,
    confirmed: true,
  },
  {
    name: "is not confirmed before the first answer",
    act: (bench) => {
      bench.hold.add(EffectKind.ScanTable);
      bench.advance(500);
    },
    version: 0,
    confirmed: false,
  },
  {
    name: "puts a newer version in force",
    act: (bench) => {
      bench.editElsewhere(3);
      bench.advance(500);
    },
    version: 3,
    confirmed: true,
  },
  {
    name: "never goes back to a lower version",
    act: (bench) => {
      bench.editElsewhere(3);
      bench.advance(500);
      bench.editElsewhere(2);
      bench.advance(5_000);
    },
    version: 3,
    confirmed: false,
  },
  {
    name: "does not confirm a version while a newer one is not loaded",
    act: (bench) => {
      bench.advance(500);
      bench.hold.add(EffectKind.GetObject);
      bench.editElsewhere(1);
      bench.advance(4_000);
    },
    version: 0,
    confirmed: false,
  },
  {
    name: "fetches again when a fetch gets no answer",
    act: (bench) => {
      bench.hold.add(EffectKind.GetObject);
      bench.editElsewhere(1);
      bench.advance(500);
      bench.hold.clear();
      bench.advance(11_000);
    },
    version: 1,
    confirmed: true,
  },
  {
    name: "gives up a scan without an answer and ignores the late one",
    act: (bench) => {
      bench.hold.add(EffectKind.ScanTable);
      bench.advance(500);
      bench.hold.clear();
      bench.advance(4_000);
      const late = bench.take<ScanTableEffect>(EffectKind.ScanTable);
      bench.editElsewhere(1);
      bench.answer(late);
    },
    version: 0,
    confirmed: true,
  },
  {
    name: "refuses an object that is not the one named",
    act: (bench) => {
      bench.editElsewhere(1);
      for (const key of bench.objects.keys()) {
        bench.objects.set(key, JSON.stringify({ teams: [] }));
      }
      bench.advance(5_000);
    },
    version: 0,
    confirmed: false,
  },
];

describe("Configuration follower", () => {
  for (const { name, act, version, confirmed } of FOLLOWER_CASES) {
    it(name, () => {
      const bench = new Bench();
      act(bench);
      expect(bench.state.current.version).to.equal(version);
      expect(isConfirmed(bench.state, bench.now)).to.equal(confirmed);
    });
  }
});
