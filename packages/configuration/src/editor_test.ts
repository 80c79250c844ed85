import {
  type CommitTableEffect,
  EffectKind,
  StoreStatus,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { Bench, type BenchCase, RULES, TTL_MS } from "./hand_driven_test.ts";
import type { EditResult } from "./mod.ts";

const EDITOR_CASES: readonly BenchCase[] = [
  {
    name: "accepts an edit",
    act: (bench) => {
      bench.advance(500);
      bench.edit(RULES, 0);
      bench.advance(1_000);
    },
    version: 1,
    confirmed: true,
    results: [1],
  },
  {
    name: "tells nobody before the commit is answered",
    act: (bench) => {
      bench.hold.add(EffectKind.CommitTable);
      bench.edit(RULES, 0);
      bench.advance(1_000);
    },
    version: 0,
    results: [],
  },
  {
    name: "accepts edits one after the other",
    act: (bench) => {
      bench.edit(RULES, 0);
      bench.edit(RULES, 1);
      bench.advance(2_000);
    },
    version: 2,
    results: [1, 2],
  },
  {
    name: "refuses the second of two edits of one version",
    act: (bench) => {
      bench.hold.add(EffectKind.CommitTable);
      bench.edit(RULES, 0);
      bench.edit(RULES, 0);
      bench.hold.clear();
      bench.held.splice(0).forEach((effect) => bench.answer(effect));
      bench.advance(1_000);
    },
    version: 1,
    results: [1, "stale-edit not-run"],
  },
  {
    name: "refuses an edit of a version that this entry has replaced",
    act: (bench) => {
      bench.hold.add(EffectKind.ScanTable);
      bench.edit(RULES, 0);
      bench.edit({ teams: [] }, 0);
    },
    version: 0,
    results: [1, "stale-edit not-run"],
  },
  {
    name: "accepts an edit whose answer was lost after it took effect",
    act: (bench) => {
      bench.hold.add(EffectKind.CommitTable);
      bench.edit(RULES, 0);
      bench.hold.clear();
      const commit = bench.take<CommitTableEffect>(EffectKind.CommitTable);
      bench.outcome(commit);
      bench.answer(commit, { status: StoreStatus.Unknown });
      bench.advance(1_000);
    },
    version: 1,
    results: [1],
  },
  {
    name: "accepts a lost edit that was edited again since",
    act: (bench) => {
      bench.hold.add(EffectKind.CommitTable);
      bench.edit(RULES, 0);
      const commit = bench.take<CommitTableEffect>(EffectKind.CommitTable);
      bench.outcome(commit);
      const mine = JSON.parse(bench.row);
      bench.editElsewhere(2);
      const row = JSON.parse(bench.row);
      row.nonces[1] = mine.nonces[0];
      bench.row = JSON.stringify(row);
      bench.hold.clear();
      bench.answer(commit, { status: StoreStatus.Unknown });
      bench.advance(1_000);
    },
    version: 2,
    results: [1],
  },
  {
    name: "writes again an edit that was lost before it took effect",
    act: (bench) => {
      bench.hold.add(EffectKind.CommitTable);
      bench.edit(RULES, 0);
      bench.hold.clear();
      const commit = bench.take<CommitTableEffect>(EffectKind.CommitTable);
      bench.answer(commit, { status: StoreStatus.Unknown });
      bench.advance(1_000);
    },
    version: 1,
    results: [1],
  },
  {
    name: "refuses a lost edit when another took its version",
    act: (bench) => {
      bench.hold.add(EffectKind.CommitTable);
      bench.edit(RULES, 0);
      bench.hold.clear();
      const commit = bench.take<CommitTableEffect>(EffectKind.CommitTable);
      bench.editElsewhere(1);
      bench.answer(commit, { status: StoreStatus.Unknown });
      bench.advance(1_000);
    },
    version: 1,
    results: ["stale-edit not-run"],
  },
  {
    name: "says that the outcome is unknown when no commit is answered",
    act: (bench) => {
      bench.hold.add(EffectKind.CommitTable);
      bench.edit(RULES, 0);
      bench.advance(TTL_MS + 100);
    },
    version: 0,
    results: ["store-unavailable unknown"],
  },
  {
    name: "says that an edit did not run when its body was never stored",
    act: (bench) => {
      bench.hold.add(EffectKind.PutObject);
      bench.edit(RULES, 0);
      bench.advance(TTL_MS + 100);
    },
    version: 0,
    results: ["store-unavailable not-run"],
  },
  {
    name: "refuses an edit of an older version at once",
    act: (bench) => {
      bench.editElsewhere(4);
      bench.advance(500);
      bench.edit(RULES, 3);
    },
    version: 4,
    results: ["stale-edit not-run"],
  },
  {
    name: "waits for the version that an edit was made against",
    act: (bench) => {
      bench.advance(500);
      bench.edit(RULES, 4);
      bench.editElsewhere(4);
      bench.advance(1_500);
    },
    version: 5,
    results: [5],
  },
  {
    name: "refuses a malformed section",
    act: (bench) => {
      bench.advance(500);
      bench.edit({ teams: [{ name: "A B", share: 1 }] }, 0);
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
      const bench = new Bench();
      act(bench);
      expect(bench.state.current.version).to.equal(version);
      const told = bench.results.map(describeResult);
      expect(told).to.deep.equal(results);
    });
  }
});
