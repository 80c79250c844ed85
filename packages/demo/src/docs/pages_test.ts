import { expect } from "chai";
import { BlockMark, joinBlocks, readBlocks, readPage } from "./page.ts";
import { type PageRun, runPage } from "./page_run.ts";

/** In milliseconds; long because each page starts a fleet. */
const TIMEOUT_MS = 180_000;

/** The page that contains the blocks to start and stop the fleet. */
const START = "docs/START.md";

interface PageCase {
  readonly page: string;
  /** Patterns that the output of its commands must match. */
  readonly shows: readonly RegExp[];
}

const AS_OF_LINE = /^as of \d{4}-\S+Z, configuration version \d+$/m;

const PAGE_CASES: readonly PageCase[] = [
  {
    page: START,
    shows: [
      AS_OF_LINE,
      /^inventory in version 1$/m,
      /^blue +2 +66\.7%/m,
      /^blue-1 +submitter +blue/m,
      /outcome done, reason completed, answer "hello"/,
      /0 running and 3 ended of 3, outcome done/,
      /0 running and 4 ended of 4, outcome done/,
      /It is running and waits for nothing/,
      /^drain of zone-b in version \d+$/m,
      /^return of zone-b in version \d+$/m,
      /^blue batch: 95% start within 5000 ms/m,
      /^report in burn\.html$/m,
      /unknown-key, not-run/,
    ],
  },
  {
    page: "docs/OPERATORS.md",
    shows: [
      /^0 differences to version \d+$/m,
      /^night-shift +viewer +- +\d{4}-/m,
      /^withdrawal of blue-2 in version \d+$/m,
      /^~ rules\.teams\.blue\.share: 2 -> 3$/m,
      /^mustardweir: .*stale-edit, not-run/m,
      /^mustardweir: .*store-unavailable, /m,
      /outcome done, reason completed, answer "hello"/,
      /scheduler-3 +zone-a +up /,
      /Home active team="(blue|green)"/,
      /- inventory\..*\.b1: /,
      /^mustardweir_calls_teams_total [1-9]/m,
    ],
  },
  {
    page: "README.md",
    shows: [
      /0 running and 8 ended of 8, outcome done, reason completed/,
      /^blue +2 +66\.7%/m,
      /^blue batch: 95% start within 5000 ms/m,
    ],
  },
  {
    page: "docs/API.md",
    shows: [
      /"teams":\[\{"team":"blue"/,
      /"availabilityZones":\[\{"availabilityZone":"zone-a"/,
      /"outcome":"done","reason":"completed".*"answer":"hello"/,
      /^status 202$/m,
      /"reason":"idempotency-key-reused"/,
      /"key":"mw_/,
      /"reason":"stale-edit".*"outcome":"not-run"/,
      /^status 412$/m,
      /"reason":"impossible"/,
      /^status 422$/m,
    ],
  },
  {
    page: "docs/TROUBLESHOOTING.md",
    shows: [
      /^nothing was refused$/m,
      /No instance has enough free room at the moment/,
      /^mustardweir: The key is not known \(unknown-key, not-run\)$/m,
      /^mustardweir: \S*wrong\.yaml:2: teams\.0\.share \(blue\): /m,
      /^mustardweir: No answer from http:\/\/127\.0\.0\.1:1: /m,
    ],
  },
];

describe("Pages run as written", function () {
  this.timeout(TIMEOUT_MS);

  for (const { page, shows } of PAGE_CASES) {
    describe(page, () => {
      let run: PageRun = { exitCode: undefined, output: "" };

      before(async () => {
        run = await runPage(scriptOf(page));
      });

      it("runs to its end", () => {
        expect(run.exitCode, run.output).to.equal(0);
      });

      for (const pattern of shows) {
        it(`shows ${pattern.source}`, () => {
          expect(run.output).to.match(pattern);
        });
      }
    });
  }
});

/** Joins the start of the fleet, the page's own blocks and the stop. */
function scriptOf(page: string): string {
  const start = readBlocks(readPage(START));
  const own = readBlocks(readPage(page));
  const fleet = joinBlocks(start, [BlockMark.Fleet]);
  const stop = joinBlocks(start, [BlockMark.Stop]);
  return [fleet, joinBlocks(own, [BlockMark.Run]), stop].join("\n");
}
