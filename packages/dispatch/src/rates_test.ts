import { expect } from "chai";
import { RateMeter } from "./rates.ts";

interface RateCase {
  readonly name: string;
  readonly jobsPerS: number;
  /** Time between jobs, in milliseconds. */
  readonly gapMs: number;
  readonly jobs: number;
  readonly excess: number;
}

const CASES: readonly RateCase[] = [
  { name: "no limit", jobsPerS: 0, gapMs: 1, jobs: 50, excess: 0 },
  { name: "half the rate", jobsPerS: 4, gapMs: 500, jobs: 40, excess: 0 },
  { name: "the rate", jobsPerS: 4, gapMs: 250, jobs: 40, excess: 0 },
  { name: "twice the rate", jobsPerS: 4, gapMs: 125, jobs: 40, excess: 13 },
  { name: "a burst", jobsPerS: 4, gapMs: 0, jobs: 12, excess: 4 },
  { name: "a small burst", jobsPerS: 0.5, gapMs: 0, jobs: 2, excess: 0 },
];

describe("rate of a team", () => {
  for (const { name, jobsPerS, gapMs, jobs, excess } of CASES) {
    it(`finds ${excess} of ${jobs} jobs over the rate with ${name}`, () => {
      const meter = new RateMeter();
      let found = 0;
      for (let index = 0; index < jobs; index++) {
        const acceptedMs = index * gapMs;
        found += meter.isOverRate("blue", { jobsPerS, acceptedMs }) ? 1 : 0;
      }
      expect(found).to.equal(excess);
    });
  }

  it("counts each team separately", () => {
    const meter = new RateMeter();
    const options = { jobsPerS: 1, acceptedMs: 0 };
    const found = ["blue", "blue", "blue", "green"]
      .map((team) => meter.isOverRate(team, options));
    expect(found).to.deep.equal([false, false, true, false]);
  });
});
