import { Kernel } from "@mustardweir/kernel";
import { SCHEDULERS } from "@mustardweir/membership";
import { expect } from "chai";
import { createRateLimit, tryTakeWrite } from "./write_rate_limit.ts";

interface RateLimitCase {
  readonly schedulers: number;
  /** Largest number of writes of all schedulers together in ten seconds. */
  readonly maxWrites: number;
}

const STEP_MS = 5;
const TRIAL_MS = 10_000;

/** 240 per second, plus the initial burst of each scheduler. */
const CASES: readonly RateLimitCase[] = [
  { schedulers: 1, maxWrites: 2_404 },
  { schedulers: 6, maxWrites: 2_424 },
  { schedulers: 60, maxWrites: 2_640 },
];

describe("rate limit of writes", () => {
  for (const { schedulers, maxWrites } of CASES) {
    it(`is shared by ${schedulers} schedulers`, () => {
      const kernel = new Kernel();
      const peers = Array.from({ length: schedulers - 1 }, (_, index) => ({
        nodeId: `s${index}`,
        address: "",
      }));
      const leaving = new Set<string>();
      kernel.registerState(SCHEDULERS, {
        isListed: true,
        isMember: true,
        peers,
        leaving,
      });
      const limit = createRateLimit();
      let writes = 0;
      for (let now = 0; now < TRIAL_MS; now += STEP_MS) {
        kernel.update(now, (update) => {
          writes += tryTakeWrite(update, limit) ? 1 : 0;
        });
      }
      expect(writes * schedulers).to.be.within(maxWrites * 0.8, maxWrites);
    });
  }
});
