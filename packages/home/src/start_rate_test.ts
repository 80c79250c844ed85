import { expect } from "chai";
import { StartRate } from "./start_rate.ts";

interface RateCase {
  readonly name: string;
  /** Times of starts, in milliseconds. */
  readonly starts: readonly number[];
  readonly now: number;
  readonly perSecond: number | undefined;
}

const everyTwentieth = Array.from({ length: 200 }, (_, i) => i * 50);

const RATE_CASES: readonly RateCase[] = [
  { name: "is unknown at first", starts: [], now: 9_000, perSecond: undefined },
  {
    name: "is unknown while little was seen",
    starts: [8_000],
    now: 9_000,
    perSecond: undefined,
  },
  {
    name: "counts the starts of the last seconds",
    starts: everyTwentieth,
    now: 10_000,
    perSecond: 20,
  },
  {
    name: "falls to nothing when nothing starts",
    starts: everyTwentieth,
    now: 30_000,
    perSecond: 0,
  },
];

describe("StartRate", () => {
  for (const { name, starts, now, perSecond } of RATE_CASES) {
    it(name, () => {
      const rate = new StartRate();
      starts.forEach((at) => rate.note(at));
      expect(rate.perSecond(now)).to.equal(perSecond);
    });
  }
});
