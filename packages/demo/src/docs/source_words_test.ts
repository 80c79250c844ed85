import { expect } from "chai";
import { readPage } from "./page.ts";
import { scanSources, type SourceWords } from "./source_words.ts";

/** The page that documents them. */
const PAGE = "docs/OPERATORS.md";

/** The headings of the tables that have one row per name or message. */
const TABLES: readonly {
  readonly heading: string;
  readonly words: keyof SourceWords;
}[] = [
  { heading: "### Counters", words: "counters" },
  { heading: "### Gauges", words: "gauges" },
  { heading: "### Histograms", words: "histograms" },
  { heading: "### Log lines", words: "messages" },
];

describe("Names of metrics and log messages", () => {
  const page = readPage(PAGE);
  const found = scanSources();

  for (const { heading, words } of TABLES) {
    it(`are those under "${heading}" of ${PAGE}`, () => {
      expect(found[words]).not.to.have.length(0);
      expect(listExplainedWords(page, heading)).to.deep.equal(found[words]);
    });
  }
});

/** Returns the first cells of a table, with `*` for parts in angle brackets. */
function listExplainedWords(page: string, heading: string): string[] {
  const [, rest = ""] = page.split(`\n${heading}\n`);
  const section = rest.split(/\n#{2,3} /)[0] ?? "";
  return [...section.matchAll(/^\| `([^`]+)`/gm)]
    .map(([, word = ""]) => word.replaceAll(/<[^>]+>/g, "*"))
    .sort();
}
