import { BurnAlert, BurnWindow } from "@mustardweir/protocol";
import { expect } from "chai";
import { WaitCounts } from "./recorder/mod.ts";
import {
  budgetLeft,
  burnRate,
  computeCoverage,
  decodeWaitHistogram,
  determineAlert,
  findGaps,
  WaitHistogram,
} from "./mod.ts";

const WAIT_CASES: readonly {
  readonly name: string;
  readonly waits: readonly number[];
  readonly limitMs: number;
  readonly within: number;
}[] = [
  { name: "none", waits: [], limitMs: 10, within: 0 },
  {
    name: "a wait equal to the limit",
    waits: [10, 11, 9],
    limitMs: 10,
    within: 2,
  },
  { name: "a negative wait", waits: [-5, 1], limitMs: 0, within: 1 },
  {
    name: "all waits below a high limit",
    waits: [5, 900_000],
    limitMs: 1e9,
    within: 2,
  },
  {
    name: "all waits without a limit",
    waits: [1, 2],
    limitMs: Infinity,
    within: 2,
  },
  { name: "long waits", waits: [100, 90_000], limitMs: 5_000, within: 1 },
];

describe("Wait histogram", () => {
  for (const { name, waits, limitMs, within } of WAIT_CASES) {
    it(`counts ${name}, before and after encoding`, () => {
      const recorded = new WaitHistogram();
      waits.forEach((wait) => recorded.record(wait));
      const decoded = decodeWaitHistogram(recorded.encode())._unsafeUnwrap();
      const counts = new WaitCounts();
      waits.forEach((wait) => counts.record(wait));
      expect(counts.total).to.equal(waits.length);
      expect(counts.countWithin(limitMs)).to.equal(within);
      for (const histogram of [recorded, decoded]) {
        expect(histogram.count).to.equal(waits.length);
        expect(histogram.countWithin(limitMs)).to.equal(within);
      }
    });
  }

  for (const text of ["x", "AAAA", "!!!!", "=".repeat(300_000)]) {
    it(`rejects the text ${text.slice(0, 8)}`, () => {
      expect(decodeWaitHistogram(text).isErr()).to.equal(true);
    });
  }
});

const span = (fromAgeMs: number, toAgeMs: number, team = "imaging") => ({
  team,
  fromAgeMs,
  toAgeMs,
});

const LENGTH_MS = 100_000;

const COVERAGE_CASES: readonly {
  readonly name: string;
  readonly spans: readonly ReturnType<typeof span>[];
  /** Ages at the start and end of each gap, in milliseconds. */
  readonly gaps: readonly (readonly [number, number])[];
}[] = [
  { name: "no span", spans: [], gaps: [[LENGTH_MS, 0]] },
  { name: "a period covered in full", spans: [span(200_000, 0)], gaps: [] },
  {
    name: "a scheduler that failed",
    spans: [span(60_000, 0)],
    gaps: [[LENGTH_MS, 60_000]],
  },
  {
    name: "a period without an owner",
    spans: [span(30_000, 0), span(150_000, 60_000)],
    gaps: [[60_000, 30_000]],
  },
  {
    name: "an ordinary change of the owner",
    spans: [span(150_000, 33_000), span(30_000, 0)],
    gaps: [],
  },
  {
    name: "two overlapping spans",
    spans: [span(150_000, 0), span(90_000, 40_000)],
    gaps: [],
  },
  {
    name: "another team",
    spans: [span(150_000, 0, "ledger")],
    gaps: [[LENGTH_MS, 0]],
  },
  {
    name: "no owner now",
    spans: [span(150_000, 20_000)],
    gaps: [[20_000, 0]],
  },
];

describe("Coverage", () => {
  for (const { name, spans, gaps } of COVERAGE_CASES) {
    it(`of ${name}`, () => {
      const options = { spans, lengthMs: LENGTH_MS };
      const found = findGaps("imaging", options);
      expect(found).to.deep.equal(gaps.map(([from, to]) => span(from, to)));
      const missing = gaps.reduce((sum, [from, to]) => sum + from - to, 0);
      expect(computeCoverage("imaging", options)).to.be.closeTo(
        1 - missing / LENGTH_MS,
        1e-9,
      );
    });
  }
});

const RATE_CASES: readonly {
  readonly name: string;
  readonly inTime: number;
  readonly late: number;
  readonly rate: number | undefined;
}[] = [
  { name: "nothing measured", inTime: 0, late: 0, rate: undefined },
  { name: "nothing late", inTime: 5, late: 0, rate: 0 },
  { name: "exactly the budget", inTime: 90, late: 10, rate: 1 },
  { name: "everything late", inTime: 0, late: 3, rate: 10 },
];

const ALERT_CASES: readonly {
  readonly name: string;
  /** Burn rates of the windows, from the shortest to the longest. */
  readonly rates: readonly (number | undefined)[];
  readonly alert: BurnAlert;
  readonly left: number | undefined;
}[] = [
  {
    name: "nothing measured",
    rates: [undefined, undefined, undefined, undefined],
    alert: BurnAlert.None,
    left: undefined,
  },
  {
    name: "low rates",
    rates: [0, 0.5, 1, 1],
    alert: BurnAlert.None,
    left: 0,
  },
  {
    name: "a short spike",
    rates: [90, 3, 0.5, 0.1],
    alert: BurnAlert.None,
    left: 0.9,
  },
  {
    name: "fast",
    rates: [20, 15, 2, 0.5],
    alert: BurnAlert.Fast,
    left: 0.5,
  },
  {
    name: "slow",
    rates: [0, 1, 1.5, 1.5],
    alert: BurnAlert.Slow,
    left: -0.5,
  },
];

describe("Burn rate", () => {
  for (const { name, rate, ...measured } of RATE_CASES) {
    it(`with ${name}`, () => {
      const found = burnRate(measured, 0.9);
      if (rate === undefined) {
        expect(found).to.equal(undefined);
      } else {
        expect(found).to.be.closeTo(rate, 1e-9);
      }
    });
  }

  for (const { name, rates, alert, left } of ALERT_CASES) {
    it(`determines the alert: ${name}`, () => {
      const windows = Object.values(BurnWindow).map((window, index) => ({
        window,
        burnRate: rates[index],
      }));
      expect(determineAlert(windows)).to.equal(alert);
      expect(budgetLeft(windows)).to.equal(left);
    });
  }
});
