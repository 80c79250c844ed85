import { expect } from "chai";
import { StartRate } from "./start_rate.ts";

interface RateCase {
  readonly name: string;
  /** Times of the starts, in milliseconds. */
  readonly starts: readonly number[];
  readonly now: number;
  readonly perSecond: number | undefined;
}

const twentyPerSecond = Array.from({ length: 200 }, (_, i) => i * 50);

const RATE_CASES: readonly RateCase[] = [
  {
    name: "is unknown before the first start",
    starts: [],
    now: 9_000,
    perSecond: undefined,
  },
  {
    name: "is unknown shortly after the first start",
    starts: [8_000],
    now: 9_000,
    perSecond: undefined,
  },
  {
    name: "counts the starts of the last two seconds",
    starts: twentyPerSecond,
    now: 10_000,
    perSecond: 20,
  },
  {
    name: "drops to zero when nothing starts",
    starts: twentyPerSecond,
    now: 30_000,
    perSecond: 0,
  },
];

describe("StartRate", () => {
  for (const { name, starts, now, perSecond } of RATE_CASES) {
    it(name, () => {
      const rate = new StartRate();
      starts.forEach((at) => rate.record(at));
      expect(rate.perSecond(now)).to.equal(perSecond);
    });
  }
});
