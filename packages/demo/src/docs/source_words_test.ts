import { expect } from "chai";
import { readPage } from "./page.ts";
import { scanSources, type SourceWords } from "./source_words.ts";

/** The page that explains all of them. */
const PAGE = "docs/OPERATORS.md";

/** The heading whose table has one row for each word. */
const TABLES: readonly {
  readonly heading: string;
  readonly words: keyof SourceWords;
}[] = [
  { heading: "### Counters", words: "counters" },
  { heading: "### Gauges", words: "gauges" },
  { heading: "### Histograms", words: "histograms" },
  { heading: "### Log lines", words: "messages" },
];

describe("Words of counters and logs", () => {
  const page = readPage(PAGE);
  const found = scanSources();

  for (const { heading, words } of TABLES) {
    it(`are those under "${heading}" of ${PAGE}`, () => {
      expect(found[words]).not.to.have.length(0);
      expect(explainedUnder(page, heading)).to.deep.equal(found[words]);
    });
  }
});

/** First cells of the table, with `*` for parts in angle brackets. */
function explainedUnder(page: string, heading: string): string[] {
  const [, rest = ""] = page.split(`\n${heading}\n`);
  const section = rest.split(/\n#{2,3} /)[0] ?? "";
  return [...section.matchAll(/^\| `([^`]+)`/gm)]
    .map(([, word = ""]) => word.replaceAll(/<[^>]+>/g, "*"))
    .sort();
}
