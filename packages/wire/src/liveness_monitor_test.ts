import { expect } from "chai";
import {
  IdleMonitor,
  type LivenessMonitor,
  type LivenessMonitorOptions,
  PingMonitor,
} from "./liveness_monitor.ts";

type MonitorClass = new (options: LivenessMonitorOptions) => LivenessMonitor;

/** Calls to a monitor with a timeout of 100 ms whose link opens at 0 ms. */
interface MonitorCase {
  readonly name: string;
  readonly monitor: MonitorClass;
  /** Calls the monitor and returns the results to check. */
  readonly act: (monitor: LivenessMonitor) => readonly (boolean | number)[];
  readonly seen: readonly (boolean | number)[];
}

const MONITOR_CASES: readonly MonitorCase[] = [
  {
    name: "a dialer times out without a first frame",
    monitor: PingMonitor,
    act: (pings) => [pings.tick(50), pings.takePing(), pings.tick(100)],
    seen: [true, 0, false],
  },
  {
    name: "a dialer sends one ping and times out without its pong",
    monitor: PingMonitor,
    act: (pings) => {
      pings.recordFrame(0);
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
    name: "a dialer times out if other frames but no pong arrive",
    monitor: PingMonitor,
    act: (pings) => {
      pings.recordFrame(0);
      pings.tick(50);
      pings.recordFrame(0);
      return [pings.tick(149), pings.tick(150)];
    },
    seen: [true, false],
  },
  {
    name: "a dialer sends the next ping after a pong",
    monitor: PingMonitor,
    act: (pings) => {
      pings.recordFrame(0);
      pings.tick(50);
      pings.recordFrame(1);
      return [pings.tick(140), pings.takePing()];
    },
    seen: [true, 2],
  },
  {
    name: "a dialer ignores a repeated pong for an older ping",
    monitor: PingMonitor,
    act: (pings) => {
      pings.recordFrame(0);
      pings.tick(50);
      pings.recordFrame(1);
      pings.tick(100);
      pings.recordFrame(1);
      return [pings.tick(190), pings.tick(200)];
    },
    seen: [true, false],
  },
  {
    name: "a dialer restarts its wait after its process was suspended",
    monitor: PingMonitor,
    act: (pings) => {
      pings.recordFrame(0);
      pings.tick(50);
      return [pings.tick(5_000), pings.tick(5_050), pings.tick(5_100)];
    },
    seen: [true, true, false],
  },
  {
    name: "the dialled side waits twice as long, for any frame",
    monitor: IdleMonitor,
    act: (listener) => {
      listener.tick(50);
      listener.recordFrame(0);
      return [100, 200, 299, 300].map((now) => listener.tick(now));
    },
    seen: [true, true, true, false],
  },
  {
    name: "the dialled side sends no pings",
    monitor: IdleMonitor,
    act: (listener) => [listener.tick(50), listener.takePing()],
    seen: [true, 0],
  },
  {
    name: "the dialled side restarts its wait after its process was suspended",
    monitor: IdleMonitor,
    act: (listener) =>
      [0, 5_000, 5_100, 5_200].map((now) => listener.tick(now)),
    seen: [true, true, true, false],
  },
];

describe("LivenessMonitor", () => {
  for (const { name, monitor, act, seen } of MONITOR_CASES) {
    it(name, () => {
      const subject = new monitor({ timeoutMs: 100, openedAt: 0 });
      expect(act(subject)).to.deep.equal(seen);
    });
  }
});
