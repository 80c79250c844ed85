import { expect } from "chai";
import { type TableTransaction, TransactionalTable } from "./mod.ts";

interface TableCase {
  readonly name: string;
  /**
   * One transaction per string: `a?1` checks a version, `a=x` puts, `-a`
   * deletes, and `!a` expects a conflict on that key.
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
    name: "gives each row a version and the table a revision",
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
    name: "applies nothing when one of several checks fails",
    steps: ["a=1 b=1", "a?1 b?2 a=2 c=1 -b !b"],
    rows: ["a=1@1", "b=1@1"],
    revision: 1,
  },
  {
    name: "returns every key whose check fails",
    steps: ["a=1", "a?0 b?1 !a !b"],
    rows: ["a=1@1"],
    revision: 1,
  },
  {
    name: "continues the version of a row that is recreated",
    steps: ["a=1", "-a", "a?1 a=x !a", "a?0 a=2", "a?1 a=x !a"],
    rows: ["a=2@2"],
    revision: 3,
  },
  {
    name: "keeps the revision when a transaction has checks only",
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
    name: "returns no deleted keys in a full scan",
    steps: ["a=1 b=1", "-a"],
    rows: ["b=1@1"],
    revision: 2,
  },
  {
    name: "returns only puts and deletes after a revision",
    steps: ["a=1 b=1 c=1", "b=2 -c"],
    afterRevision: 1,
    rows: ["b=2@2"],
    deleted: ["c"],
    revision: 2,
  },
  {
    name: "keeps the revision of a delete when the key is deleted again",
    steps: ["a=1", "-a", "-a"],
    afterRevision: 2,
    rows: [],
    revision: 3,
  },
  {
    name: "returns a recreated row as a row, not as deleted",
    steps: ["a=1", "-a", "a=2"],
    afterRevision: 1,
    rows: ["a=2@2"],
    revision: 3,
  },
  {
    name: "returns nothing after the latest revision",
    steps: ["a=1"],
    afterRevision: 1,
    rows: [],
    revision: 1,
  },
];

/** Returns the capture groups of each word of `step` that matches. */
function matchWords(step: string, pattern: RegExp): readonly string[][] {
  return step.split(" ").flatMap((word) => {
    const groups = pattern.exec(word)?.slice(1);
    return groups === undefined ? [] : [groups];
  });
}

function parseStep(step: string): TableTransaction {
  return {
    checks: matchWords(step, /^(.+)\?(\d+)$/)
      .map(([key = "", version]) => ({ key, version: Number(version) })),
    puts: matchWords(step, /^(.+)=(.+)$/)
      .map(([key = "", value = ""]) => ({ key, value })),
    deletes: matchWords(step, /^-(.+)$/).flat(),
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
        expect(conflicts).to.deep.equal(matchWords(step, /^!(.+)$/).flat());
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
