import { EffectKind, type ScanTableEffect } from "@mustardweir/protocol";
import { expect } from "chai";
import { type HarnessCase, TestHarness } from "./harness_test.ts";
import { isConfirmed } from "./mod.ts";

const FOLLOWER_CASES: readonly HarnessCase[] = [
  {
    name: "confirms an empty configuration",
    act: (harness) => harness.advance(500),
    version: 0,
    confirmed: true,
  },
  {
    name: "is not confirmed before the first reply",
    act: (harness) => {
      harness.hold.add(EffectKind.ScanTable);
      harness.advance(500);
    },
    version: 0,
    confirmed: false,
  },
  {
    name: "puts a newer version in force",
    act: (harness) => {
      harness.editAtOtherEntry(3);
      harness.advance(500);
    },
    version: 3,
    confirmed: true,
  },
  {
    name: "never goes back to a lower version",
    act: (harness) => {
      harness.editAtOtherEntry(3);
      harness.advance(500);
      harness.editAtOtherEntry(2);
      harness.advance(5_000);
    },
    version: 3,
    confirmed: false,
  },
  {
    name: "does not confirm a version while a newer one is not loaded",
    act: (harness) => {
      harness.advance(500);
      harness.hold.add(EffectKind.GetObject);
      harness.editAtOtherEntry(1);
      harness.advance(4_000);
    },
    version: 0,
    confirmed: false,
  },
  {
    name: "fetches again when a fetch times out",
    act: (harness) => {
      harness.hold.add(EffectKind.GetObject);
      harness.editAtOtherEntry(1);
      harness.advance(500);
      harness.hold.clear();
      harness.advance(11_000);
    },
    version: 1,
    confirmed: true,
  },
  {
    name: "times out a scan without a reply and ignores the late reply",
    act: (harness) => {
      harness.hold.add(EffectKind.ScanTable);
      harness.advance(500);
      harness.hold.clear();
      harness.advance(4_000);
      const late = harness.takeHeld<ScanTableEffect>(EffectKind.ScanTable);
      harness.editAtOtherEntry(1);
      harness.answer(late);
    },
    version: 0,
    confirmed: true,
  },
  {
    name: "ignores an object whose body does not match its key",
    act: (harness) => {
      harness.editAtOtherEntry(1);
      for (const key of harness.objects.keys()) {
        harness.objects.set(key, JSON.stringify({ teams: [] }));
      }
      harness.advance(5_000);
    },
    version: 0,
    confirmed: false,
  },
];

describe("Configuration follower", () => {
  for (const { name, act, version, confirmed } of FOLLOWER_CASES) {
    it(name, () => {
      const harness = new TestHarness();
      act(harness);
      expect(harness.state.current.version).to.equal(version);
      expect(isConfirmed(harness.state, harness.now)).to.equal(confirmed);
    });
  }
});
