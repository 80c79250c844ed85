import { Kernel } from "@mustardweir/kernel";
import { PROCESS_SUSPENDED } from "@mustardweir/protocol";
import { expect } from "chai";
import { isSoleOwner, TENURE, TenurePhase, TenurePlugin } from "./mod.ts";

const NOW_MS = 100_000;

interface SuspensionCase {
  readonly forMs: number;
  /** Whether no other node can have claimed the domain meanwhile. */
  readonly isSole: boolean;
}

const CASES: readonly SuspensionCase[] = [
  { forMs: 600, isSole: true },
  { forMs: 1_200, isSole: false },
  { forMs: 30_000, isSole: false },
];

describe("an owner whose machine was suspended", () => {
  for (const { forMs, isSole } of CASES) {
    it(`for ${forMs} ms is ${isSole ? "" : "not "}sure to own the domain`, () => {
      const kernel = new Kernel({ plugins: [new TenurePlugin()] });
      kernel.update(NOW_MS, (update) => {
        const tenure = update.write(TENURE);
        tenure.phase = TenurePhase.Owner;
        tenure.confirmedMs = NOW_MS;
      });
      kernel.run(PROCESS_SUSPENDED, { forMs }, NOW_MS);
      kernel.update(NOW_MS, (update) => {
        expect(isSoleOwner(update)).to.equal(isSole);
      });
      expect(kernel.read(TENURE).confirmedMs).to.equal(NOW_MS - forMs);
    });
  }
});
