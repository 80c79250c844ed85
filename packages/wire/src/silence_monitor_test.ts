import { expect } from "chai";
import {
  ListenMonitor,
  PingMonitor,
  type SilenceMonitor,
  type SilenceMonitorOptions,
} from "./silence_monitor.ts";

type Monitor = new (options: SilenceMonitorOptions) => SilenceMonitor;

/** What is done to a monitor with a timeout of 100 ms, opened at 0. */
interface MonitorCase {
  readonly name: string;
  readonly monitor: Monitor;
  readonly act: (monitor: SilenceMonitor) => readonly (boolean | number)[];
  readonly seen: readonly (boolean | number)[];
}

const MONITOR_CASES: readonly MonitorCase[] = [
  {
    name: "a dialler waits for the first frame",
    monitor: PingMonitor,
    act: (pings) => [pings.tick(50), pings.takePing(), pings.tick(100)],
    seen: [true, 0, false],
  },
  {
    name: "a dialler asks once and finds silence without an answer",
    monitor: PingMonitor,
    act: (pings) => {
      pings.heard(0);
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
    name: "a dialler takes no other frame for an answer",
    monitor: PingMonitor,
    act: (pings) => {
      pings.heard(0);
      pings.tick(50);
      pings.heard(0);
      return [pings.tick(149), pings.tick(150)];
    },
    seen: [true, false],
  },
  {
    name: "a dialler asks again after an answer",
    monitor: PingMonitor,
    act: (pings) => {
      pings.heard(0);
      pings.tick(50);
      pings.heard(1);
      return [pings.tick(140), pings.takePing()];
    },
    seen: [true, 2],
  },
  {
    name: "a dialler heeds no late answer to an older ping",
    monitor: PingMonitor,
    act: (pings) => {
      pings.heard(0);
      pings.tick(50);
      pings.heard(1);
      pings.tick(100);
      pings.heard(1);
      return [pings.tick(190), pings.tick(200)];
    },
    seen: [true, false],
  },
  {
    name: "a dialler waits on after a pause of its own process",
    monitor: PingMonitor,
    act: (pings) => {
      pings.heard(0);
      pings.tick(50);
      return [pings.tick(5_000), pings.tick(5_050), pings.tick(5_100)];
    },
    seen: [true, true, false],
  },
  {
    name: "the other side waits twice as long for any frame",
    monitor: ListenMonitor,
    act: (listener) => {
      listener.tick(50);
      listener.heard(0);
      return [100, 200, 299, 300].map((now) => listener.tick(now));
    },
    seen: [true, true, true, false],
  },
  {
    name: "the other side asks nothing",
    monitor: ListenMonitor,
    act: (listener) => [listener.tick(50), listener.takePing()],
    seen: [true, 0],
  },
  {
    name: "the other side waits on after a pause of its own process",
    monitor: ListenMonitor,
    act: (listener) =>
      [0, 5_000, 5_100, 5_200].map((now) => listener.tick(now)),
    seen: [true, true, true, false],
  },
];

describe("SilenceMonitor", () => {
  for (const { name, monitor, act, seen } of MONITOR_CASES) {
    it(name, () => {
      const made = new monitor({ timeoutMs: 100, openedAt: 0 });
      expect(act(made)).to.deep.equal(seen);
    });
  }
});
