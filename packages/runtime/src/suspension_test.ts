import { Kernel } from "@mustardweir/kernel";
import { CommandPriority } from "@mustardweir/kernel";
import { PROCESS_SUSPENDED } from "@mustardweir/protocol";
import { expect } from "chai";
import { Clock, EventLoop, SuspensionMeter } from "./mod.ts";

interface MeterCase {
  readonly name: string;
  /** Pairs of the steady clock and the time of day, in milliseconds. */
  readonly readings: readonly (readonly [number, number])[];
  /** What the last call returns. */
  readonly suspendedMs: number;
}

const CASES: readonly MeterCase[] = [
  { name: "the first reading", readings: [[5, 900_000]], suspendedMs: 0 },
  {
    name: "clocks that go on together",
    readings: [[0, 100], [60_000, 60_100]],
    suspendedMs: 0,
  },
  {
    name: "an adjusted time of day",
    readings: [[0, 100], [1_000, 1_400]],
    suspendedMs: 0,
  },
  {
    name: "a suspension of 5 s",
    readings: [[0, 100], [20, 5_120]],
    suspendedMs: 5_000,
  },
  {
    name: "a suspension that was told before",
    readings: [[0, 100], [20, 5_120], [40, 5_140]],
    suspendedMs: 0,
  },
  {
    name: "a time of day that jumps back",
    readings: [[0, 10_000], [20, 7_000]],
    suspendedMs: 0,
  },
];

describe("SuspensionMeter", () => {
  for (const { name, readings, suspendedMs } of CASES) {
    it(`returns ${suspendedMs} ms for ${name}`, () => {
      const meter = new SuspensionMeter();
      const measured = readings.map(([steadyMs, unixMs]) =>
        meter.measure({ steadyMs, unixMs })
      );
      expect(measured.at(-1)).to.equal(suspendedMs);
    });
  }
});

/** Clocks that a test sets. */
class SetClock extends Clock {
  steadyMs = 1_000;
  unixMs = 50_000;

  override now(): number {
    return this.steadyMs;
  }

  override timeOfDay(): number {
    return this.unixMs;
  }
}

describe("EventLoop after a suspension", () => {
  it("tells it before it handles any other event", async () => {
    const kernel = new Kernel();
    const clock = new SetClock();
    const handled: string[] = [];
    kernel.registerCommand(
      PROCESS_SUSPENDED,
      ({ forMs }) => void handled.push(`suspended for ${forMs}`),
      CommandPriority.Normal,
    );
    const loop = new EventLoop({ kernel, performers: [], clock });
    await loop.start();
    await new Promise((resolve) => setTimeout(resolve, 10));
    clock.unixMs += 4_000;
    kernel.registerCommand(
      PROCESS_SUSPENDED,
      () => void handled.push("second handler"),
      CommandPriority.Low,
    );
    loop.post(PROCESS_SUSPENDED, { forMs: 0 });
    await new Promise((resolve) => setTimeout(resolve, 10));
    await loop.stop();
    expect(handled[0]).to.equal("suspended for 4000");
    expect(handled).to.include("suspended for 0");
  });
});
