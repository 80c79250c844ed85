import {
  type CommitTableEffect,
  EffectKind,
  StoreStatus,
} from "@mustardweir/protocol";
import { expect } from "chai";
import {
  type HarnessCase,
  RULES,
  TestHarness,
  TTL_MS,
} from "./harness_test.ts";
import type { EditResult } from "./mod.ts";

const EDITOR_CASES: readonly HarnessCase[] = [
  {
    name: "accepts an edit",
    act: (harness) => {
      harness.advance(500);
      harness.edit(RULES, 0);
      harness.advance(1_000);
    },
    version: 1,
    confirmed: true,
    results: [1],
  },
  {
    name: "reports no result before the commit is answered",
    act: (harness) => {
      harness.hold.add(EffectKind.CommitTable);
      harness.edit(RULES, 0);
      harness.advance(1_000);
    },
    version: 0,
    results: [],
  },
  {
    name: "accepts consecutive edits",
    act: (harness) => {
      harness.edit(RULES, 0);
      harness.edit(RULES, 1);
      harness.advance(2_000);
    },
    version: 2,
    results: [1, 2],
  },
  {
    name: "refuses the second of two edits based on the same version",
    act: (harness) => {
      harness.hold.add(EffectKind.CommitTable);
      harness.edit(RULES, 0);
      harness.edit(RULES, 0);
      harness.hold.clear();
      harness.held.splice(0).forEach((effect) => harness.answer(effect));
      harness.advance(1_000);
    },
    version: 1,
    results: [1, "stale-edit not-run"],
  },
  {
    name: "refuses an edit based on a version that this node has replaced",
    act: (harness) => {
      harness.hold.add(EffectKind.ScanTable);
      harness.edit(RULES, 0);
      harness.edit({ teams: [] }, 0);
    },
    version: 0,
    results: [1, "stale-edit not-run"],
  },
  {
    name: "accepts an edit that took effect although the reply to it was lost",
    act: (harness) => {
      harness.hold.add(EffectKind.CommitTable);
      harness.edit(RULES, 0);
      harness.hold.clear();
      const commit = harness.takeHeld<CommitTableEffect>(
        EffectKind.CommitTable,
      );
      harness.outcome(commit);
      harness.answer(commit, { status: StoreStatus.Unknown });
      harness.advance(1_000);
    },
    version: 1,
    results: [1],
  },
  {
    name: "accepts an edit whose reply was lost even after a later edit",
    act: (harness) => {
      harness.hold.add(EffectKind.CommitTable);
      harness.edit(RULES, 0);
      const commit = harness.takeHeld<CommitTableEffect>(
        EffectKind.CommitTable,
      );
      harness.outcome(commit);
      const mine = JSON.parse(harness.row);
      harness.editAtOtherEntry(2);
      const row = JSON.parse(harness.row);
      row.nonces[1] = mine.nonces[0];
      harness.row = JSON.stringify(row);
      harness.hold.clear();
      harness.answer(commit, { status: StoreStatus.Unknown });
      harness.advance(1_000);
    },
    version: 2,
    results: [1],
  },
  {
    name: "retries an edit whose commit was lost",
    act: (harness) => {
      harness.hold.add(EffectKind.CommitTable);
      harness.edit(RULES, 0);
      harness.hold.clear();
      const commit = harness.takeHeld<CommitTableEffect>(
        EffectKind.CommitTable,
      );
      harness.answer(commit, { status: StoreStatus.Unknown });
      harness.advance(1_000);
    },
    version: 1,
    results: [1],
  },
  {
    name: "refuses an edit with a lost commit when another took its version",
    act: (harness) => {
      harness.hold.add(EffectKind.CommitTable);
      harness.edit(RULES, 0);
      harness.hold.clear();
      const commit = harness.takeHeld<CommitTableEffect>(
        EffectKind.CommitTable,
      );
      harness.editAtOtherEntry(1);
      harness.answer(commit, { status: StoreStatus.Unknown });
      harness.advance(1_000);
    },
    version: 1,
    results: ["stale-edit not-run"],
  },
  {
    name: "reports an unknown outcome when no commit is answered",
    act: (harness) => {
      harness.hold.add(EffectKind.CommitTable);
      harness.edit(RULES, 0);
      harness.advance(TTL_MS + 100);
    },
    version: 0,
    results: ["store-unavailable unknown"],
  },
  {
    name: "reports that an edit has not run when its body was never stored",
    act: (harness) => {
      harness.hold.add(EffectKind.PutObject);
      harness.edit(RULES, 0);
      harness.advance(TTL_MS + 100);
    },
    version: 0,
    results: ["store-unavailable not-run"],
  },
  {
    name: "refuses an edit based on an older version immediately",
    act: (harness) => {
      harness.editAtOtherEntry(4);
      harness.advance(500);
      harness.edit(RULES, 3);
    },
    version: 4,
    results: ["stale-edit not-run"],
  },
  {
    name: "waits for the version on which an edit is based",
    act: (harness) => {
      harness.advance(500);
      harness.edit(RULES, 4);
      harness.editAtOtherEntry(4);
      harness.advance(1_500);
    },
    version: 5,
    results: [5],
  },
  {
    name: "refuses a malformed section",
    act: (harness) => {
      harness.advance(500);
      harness.edit({ teams: [{ name: "A B", share: 1 }] }, 0);
    },
    version: 0,
    results: ["malformed not-run"],
  },
];

function describeResult(result: EditResult): number | string {
  return result.match(
    (version) => version,
    (refusal) => `${refusal.reason} ${refusal.outcome}`,
  );
}

describe("Configuration editor", () => {
  for (const { name, act, version, results } of EDITOR_CASES) {
    it(name, () => {
      const harness = new TestHarness();
      act(harness);
      expect(harness.state.current.version).to.equal(version);
      const described = harness.results.map(describeResult);
      expect(described).to.deep.equal(results);
    });
  }
});
