import {
  CommandPriority,
  createCommand,
  type Kernel,
  Plugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";
import {
  count,
  EffectKind,
  logChange,
  NODE_IDENTITY,
  nodeEffect,
  type NodeIdentity,
  STOP_REQUESTED,
} from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createLogger,
  Performer,
  ProcessHost,
  runNode,
  StopSignal,
} from "./mod.ts";

const WAIT_LIMIT_MS = 10_000;

/** A fake process whose signals the test sends and whose exits it records. */
class FakeHost extends ProcessHost {
  readonly exits: number[] = [];
  signal: (signal: StopSignal) => void = () => {};
  crash: (error: unknown) => void = () => {};

  override onStopSignal(listener: (signal: StopSignal) => void): Undo {
    this.signal = listener;
    return () => {};
  }

  override onUncaught(listener: (error: unknown) => void): Undo {
    this.crash = listener;
    return () => {};
  }

  override exit(code: number): void {
    this.exits.push(code);
  }
}

/** Completes a stop immediately and logs a line with the node's id. */
class StoppingPlugin extends Plugin {
  override readonly name = "stopping";

  override register(kernel: Kernel): Undo {
    return kernel.registerCommand(STOP_REQUESTED, (_payload, update) => {
      const { nodeId } = update.service(NODE_IDENTITY);
      update.emit(nodeEffect({ kind: EffectKind.Stopped }));
      update.emit(logChange("Saying goodbye", { nodeId }));
    }, CommandPriority.Normal);
  }
}

class FailingPerformer extends Performer {
  override readonly kinds = [EffectKind.SendPeer];

  override start(): Promise<void> {
    return Promise.reject(new Error("Port is in use"));
  }

  override perform(): void {}
}

const STOPPING = [new StoppingPlugin()];

interface NodeCase {
  readonly name: string;
  readonly plugins: readonly Plugin[];
  readonly performers?: readonly Performer[];
  readonly act: (host: FakeHost) => void;
  readonly exit: number;
  /** Part of the last log line. */
  readonly line: string;
}

const NODE_CASES: readonly NodeCase[] = [
  {
    name: "a planned stop",
    plugins: STOPPING,
    act: (host) => host.signal(StopSignal.Terminate),
    exit: 0,
    line: 'Saying goodbye nodeId="n1"',
  },
  {
    name: "a stop that takes too long",
    plugins: [],
    act: (host) => host.signal(StopSignal.Terminate),
    exit: 1,
    line: "Stop timed out",
  },
  {
    name: "a second interrupt",
    plugins: [],
    act: (host) => {
      host.signal(StopSignal.Interrupt);
      host.signal(StopSignal.Interrupt);
    },
    exit: 1,
    line: "Stopping",
  },
  {
    name: "a second request to terminate during a planned stop",
    plugins: STOPPING,
    act: (host) => {
      host.signal(StopSignal.Terminate);
      host.signal(StopSignal.Terminate);
    },
    exit: 0,
    line: 'Saying goodbye nodeId="n1"',
  },
  {
    name: "an uncaught error",
    plugins: STOPPING,
    act: (host) => host.crash(new Error("Broken")),
    exit: 1,
    line: "Error: Broken",
  },
  {
    name: "a performer that can't start",
    plugins: STOPPING,
    performers: [new FailingPerformer()],
    act: () => {},
    exit: 1,
    line: "Port is in use",
  },
];

const IDENTITY: NodeIdentity = {
  nodeId: "n1",
  role: Role.Scheduler,
  incarnation: "1",
  availabilityZone: "tx-a",
  seedPeers: [],
};

describe("runNode", () => {
  for (
    const { name, plugins, performers = [], act, exit, line } of NODE_CASES
  ) {
    it(`exits with ${exit} after ${name}`, async () => {
      const host = new FakeHost();
      const lines: string[] = [];
      const node = await runNode({
        identity: IDENTITY,
        plugins,
        performers,
        logger: createLogger({
          node: "n1",
          write: (text) => lines.push(text),
        }),
        stopTimeoutMs: 100,
        host,
      });
      act(host);
      const end = performance.now() + WAIT_LIMIT_MS;
      while (host.exits.length === 0 && performance.now() < end) {
        await new Promise((resolve) => setTimeout(resolve, 1));
      }
      await node?.loop.stop();
      expect(host.exits).to.deep.equal([exit]);
      expect(lines.at(-1)).to.include(line);
      expect(lines.at(-1)?.split("\n")).to.have.length(2);
    });
  }

  it("logs one line when it is ready", async () => {
    const lines: string[] = [];
    const node = await runNode({
      identity: IDENTITY,
      plugins: [],
      performers: [],
      logger: createLogger({ node: "n1", write: (text) => lines.push(text) }),
      listening: () => ({ port: 7_500 }),
      host: new FakeHost(),
    });
    await node?.loop.stop();
    expect(lines).to.have.length(1);
    expect(lines[0]).to.match(/scheduler is ready port=7500\n$/);
  });
});

interface ErrorCase {
  readonly name: string;
  readonly events: number;
  readonly exits: readonly number[];
}

const ERROR_CASES: readonly ErrorCase[] = [
  { name: "survives one event that fails", events: 1, exits: [] },
  { name: "survives twenty events that fail", events: 20, exits: [] },
  { name: "exits when more events fail", events: 21, exits: [1] },
];

const POISON = createCommand<string>("poison");

/** Fails on each event and counts in how many it got that far. */
class PoisonedPlugin extends Plugin {
  override readonly name = "poisoned";

  override register(kernel: Kernel): Undo {
    return kernel.registerCommand(
      POISON,
      (text, update) => {
        update.emit(count("poison"));
        JSON.parse(text);
      },
      CommandPriority.Normal,
    );
  }
}

describe("a node", () => {
  for (const { name, events, exits } of ERROR_CASES) {
    it(`${name}`, async () => {
      const host = new FakeHost();
      const lines: string[] = [];
      const node = await runNode({
        identity: IDENTITY,
        plugins: [new PoisonedPlugin()],
        performers: [],
        logger: createLogger({ node: "n1", write: (text) => lines.push(text) }),
        host,
      });
      for (let index = 0; index < events; index++) {
        node!.loop.post(POISON, "{");
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
      await node!.loop.stop();
      expect(host.exits).to.deep.equal(exits);
      expect(node!.metrics.counter("event-errors")).to.equal(events);
      expect(node!.metrics.counter("poison")).to.equal(events);
      expect(lines[1]).to.include("Event failed");
    });
  }
});
