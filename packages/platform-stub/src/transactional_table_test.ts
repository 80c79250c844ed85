import { expect } from "chai";
import { type TableTransaction, TransactionalTable } from "./mod.ts";

interface TableCase {
  readonly name: string;
  /**
   * Transactions in words: `a?1` checks, `a=x` puts, `-a` deletes and `!a`
   * expects a conflict of that key.
   */
  readonly steps: readonly string[];
  readonly prefix?: string;
  readonly afterRevision?: number;
  /** Rows as key=value@version. */
  readonly rows: readonly string[];
  readonly deleted?: readonly string[];
  readonly revision: number;
}

const TABLE_CASES: readonly TableCase[] = [
  {
    name: "versions each row by itself and the table as a whole",
    steps: ["b=1 a=1", "a=2"],
    rows: ["a=2@2", "b=1@1"],
    revision: 2,
  },
  {
    name: "applies a transaction whose checks hold",
    steps: ["a?0 a=1", "a?1 b?0 a=2"],
    rows: ["a=2@2"],
    revision: 2,
  },
  {
    name: "leaves all unchanged when one of several checks fails",
    steps: ["a=1 b=1", "a?1 b?2 a=2 c=1 -b !b"],
    rows: ["a=1@1", "b=1@1"],
    revision: 1,
  },
  {
    name: "names every key whose check fails",
    steps: ["a=1", "a?0 b?1 !a !b"],
    rows: ["a=1@1"],
    revision: 1,
  },
  {
    name: "continues the version of a row that is created anew",
    steps: ["a=1", "-a", "a?1 a=x !a", "a?0 a=2", "a?1 a=x !a"],
    rows: ["a=2@2"],
    revision: 3,
  },
  {
    name: "keeps its revision when a transaction only checks",
    steps: ["a=1", "a?1"],
    rows: ["a=1@1"],
    revision: 1,
  },
  {
    name: "scans one prefix",
    steps: ["a/1=1 b/1=1"],
    prefix: "b/",
    rows: ["b/1=1@1"],
    revision: 1,
  },
  {
    name: "names no deleted key in a full scan",
    steps: ["a=1 b=1", "-a"],
    rows: ["b=1@1"],
    revision: 2,
  },
  {
    name: "scans only changes and deletes after a revision",
    steps: ["a=1 b=1 c=1", "b=2 -c"],
    afterRevision: 1,
    rows: ["b=2@2"],
    deleted: ["c"],
    revision: 2,
  },
  {
    name: "does not move a delete when the key is deleted again",
    steps: ["a=1", "-a", "-a"],
    afterRevision: 2,
    rows: [],
    revision: 3,
  },
  {
    name: "shows a row created anew as a row, not as deleted",
    steps: ["a=1", "-a", "a=2"],
    afterRevision: 1,
    rows: ["a=2@2"],
    revision: 3,
  },
  {
    name: "shows nothing after the latest revision",
    steps: ["a=1"],
    afterRevision: 1,
    rows: [],
    revision: 1,
  },
];

/** The groups of each word of `step` that matches `pattern`. */
function words(step: string, pattern: RegExp): readonly string[][] {
  return step.split(" ").flatMap((word) => {
    const groups = pattern.exec(word)?.slice(1);
    return groups === undefined ? [] : [groups];
  });
}

function parseStep(step: string): TableTransaction {
  return {
    checks: words(step, /^(.+)\?(\d+)$/)
      .map(([key = "", version]) => ({ key, version: Number(version) })),
    puts: words(step, /^(.+)=(.+)$/)
      .map(([key = "", value = ""]) => ({ key, value })),
    deletes: words(step, /^-(.+)$/).flat(),
  };
}

describe("TransactionalTable", () => {
  for (
    const { name, steps, prefix, afterRevision, ...expected } of TABLE_CASES
  ) {
    it(name, () => {
      const table = new TransactionalTable();
      for (const step of steps) {
        const conflicts = table.commit(parseStep(step))
          .match(() => [], (conflict) => conflict.conflicts);
        expect(conflicts).to.deep.equal(words(step, /^!(.+)$/).flat());
      }
      const page = table.scan({
        prefix: prefix ?? "",
        afterRevision: afterRevision ?? 0,
      });
      const rows = page.rows.map((r) => `${r.key}=${r.value}@${r.version}`);
      const { deleted = [] } = expected;
      expect({ ...page, rows }).to.deep.equal({ ...expected, deleted });
    });
  }
});
