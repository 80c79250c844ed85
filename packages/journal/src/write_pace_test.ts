import { Kernel } from "@mustardweir/kernel";
import { SCHEDULERS } from "@mustardweir/membership";
import { expect } from "chai";
import { createPace, takeTurn } from "./write_pace.ts";

interface PaceCase {
  readonly schedulers: number;
  /** Writes that all schedulers together make in ten seconds, at most. */
  readonly most: number;
}

const STEP_MS = 5;
const TRIAL_MS = 10_000;

/** 240 a second, and the burst of each at first. */
const CASES: readonly PaceCase[] = [
  { schedulers: 1, most: 2_404 },
  { schedulers: 6, most: 2_424 },
  { schedulers: 60, most: 2_640 },
];

describe("pace of writes", () => {
  for (const { schedulers, most } of CASES) {
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
      const pace = createPace();
      let writes = 0;
      for (let now = 0; now < TRIAL_MS; now += STEP_MS) {
        kernel.update(now, (update) => {
          writes += takeTurn(update, pace) ? 1 : 0;
        });
      }
      expect(writes * schedulers).to.be.within(most * 0.8, most);
    });
  }
});
