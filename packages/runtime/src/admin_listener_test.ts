import { type Kernel, Plugin, Role, type Undo } from "@mustardweir/kernel";
import { STOP_REQUESTED } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  AdminListener,
  createLogger,
  Metrics,
  ProcessHost,
  Readiness,
  runNode,
  StopSignal,
} from "./mod.ts";

/** Time within which the loop handles a stop request, in milliseconds. */
const STOP_WAIT_MS = 50;

interface ProbeCase {
  readonly path: string;
  readonly isReady: boolean;
  readonly status: number;
  readonly body: RegExp;
}

const PROBE_CASES: readonly ProbeCase[] = [
  { path: "/healthz", isReady: true, status: 200, body: /^ok$/m },
  { path: "/healthz", isReady: false, status: 200, body: /^ok$/m },
  { path: "/readyz", isReady: true, status: 200, body: /^ready$/m },
  { path: "/readyz", isReady: false, status: 503, body: /^not ready$/m },
  {
    path: "/metrics",
    isReady: true,
    status: 200,
    body: /^mustardweir_jobs_total 1$/m,
  },
  {
    path: "/metrics",
    isReady: true,
    status: 200,
    body: /^process_cpu_seconds_total [\d.]+$/m,
  },
  { path: "/other", isReady: true, status: 404, body: /Not Found/ },
];

describe("AdminListener", () => {
  for (const { path, isReady, status, body } of PROBE_CASES) {
    const state = isReady ? "ready" : "not ready";
    it(`answers ${status} at ${path} when ${state}`, async () => {
      const metrics = new Metrics();
      metrics.count("jobs");
      const admin = new AdminListener({
        listen: { host: "127.0.0.1", port: 0 },
        isReady: () => isReady,
        metrics,
      });
      await admin.start();
      const res = await fetch(`http://127.0.0.1:${admin.port}${path}`);
      const text = await res.text();
      await admin.close();
      expect(res.status).to.equal(status);
      expect(text).to.match(body);
    });
  }
});

class SignalHost extends ProcessHost {
  signal: (signal: StopSignal) => void = () => {};

  override onStopSignal(listener: (signal: StopSignal) => void): Undo {
    this.signal = listener;
    return () => {};
  }

  override onUncaught(): Undo {
    return () => {};
  }

  override exit(): void {}
}

/** Calls `onStop` when the stop is requested. */
class StopRecorder extends Plugin {
  override readonly name = "stop-watch";
  readonly #onStop: () => void;

  constructor(onStop: () => void) {
    super();
    this.#onStop = onStop;
  }

  override register(kernel: Kernel): Undo {
    return kernel.registerCommand(STOP_REQUESTED, this.#onStop, 2);
  }
}

const STOP_CASES = [
  { name: "immediately without a delay", drainDelayMs: 0, stops: true },
  { name: "only after a drain delay", drainDelayMs: 600_000, stops: false },
];

describe("Readiness", () => {
  for (const { name, drainDelayMs, stops } of STOP_CASES) {
    it(`ends before a planned stop, which begins ${name}`, async () => {
      const readiness = new Readiness();
      const host = new SignalHost();
      const events: string[] = [];
      const node = await runNode({
        identity: {
          nodeId: "n1",
          role: Role.Entry,
          incarnation: "1",
          availabilityZone: "tx-a",
          seedPeers: [],
        },
        plugins: [
          new StopRecorder(() =>
            events.push(`draining ${readiness.isDraining}`)
          ),
        ],
        performers: [],
        logger: createLogger({ node: "n1", write: () => {} }),
        readiness,
        drainDelayMs,
        host,
      });
      expect(readiness.isDraining).to.equal(false);
      host.signal(StopSignal.Terminate);
      expect(readiness.isDraining).to.equal(true);
      await new Promise((resolve) => setTimeout(resolve, STOP_WAIT_MS));
      expect(events).to.deep.equal(stops ? ["draining true"] : []);
      await node?.loop.stop();
      host.signal(StopSignal.Interrupt);
    });
  }
});
