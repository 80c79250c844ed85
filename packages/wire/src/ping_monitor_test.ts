import { expect } from "chai";
import { PingMonitor } from "./ping_monitor.ts";

/** What is done to a monitor with a timeout of 100 ms, opened at 0. */
interface PingCase {
  readonly name: string;
  readonly act: (pings: PingMonitor) => readonly (boolean | number)[];
  readonly seen: readonly (boolean | number)[];
}

const PING_CASES: readonly PingCase[] = [
  {
    name: "waits for the first frame",
    act: (pings) => [pings.tick(50), pings.takePing(), pings.tick(100)],
    seen: [true, 0, false],
  },
  {
    name: "asks once and is silent without an answer",
    act: (pings) => {
      pings.greeted();
      return [
        pings.tick(50),
        pings.takePing(),
        pings.takePing(),
        pings.tick(149),
        pings.tick(150),
      ];
    },
    seen: [true, 1, 0, true, false],
  },
  {
    name: "asks again after an answer",
    act: (pings) => {
      pings.greeted();
      pings.tick(50);
      pings.answered(1);
      return [pings.tick(140), pings.takePing()];
    },
    seen: [true, 2],
  },
  {
    name: "heeds no late answer to an older ping",
    act: (pings) => {
      pings.greeted();
      pings.tick(50);
      pings.answered(1);
      pings.tick(100);
      pings.answered(1);
      return [pings.tick(190), pings.tick(200)];
    },
    seen: [true, false],
  },
  {
    name: "waits on after a pause of its own process",
    act: (pings) => {
      pings.greeted();
      pings.tick(50);
      return [pings.tick(5_000), pings.tick(5_050), pings.tick(5_100)];
    },
    seen: [true, true, false],
  },
];

describe("PingMonitor", () => {
  for (const { name, act, seen } of PING_CASES) {
    it(name, () => {
      const pings = new PingMonitor({ timeoutMs: 100, openedAt: 0 });
      expect(act(pings)).to.deep.equal(seen);
    });
  }
});
