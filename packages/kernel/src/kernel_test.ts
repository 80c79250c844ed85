import { expect } from "chai";
import {
  CommandPriority,
  createCommand,
  createStateKey,
  type Effect,
  type Kernel,
  Kernel as KernelClass,
  mergeUndo,
  Plugin,
  type Undo,
  type Update,
} from "./mod.ts";

const ADD = createCommand<number>("add");
const TOTAL = createStateKey<{ value: number }>("total");

class TotalPlugin extends Plugin {
  override readonly name = "total";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(TOTAL, { value: 0 }),
      kernel.registerCommand(ADD, addToTotal, CommandPriority.Normal),
    );
  }
}

function addToTotal(by: number, update: Update): void {
  update.write(TOTAL).value += by;
  update.emit({ kind: `added-${by}` });
}

interface KernelCase {
  readonly name: string;
  readonly act: (kernel: Kernel) => readonly Effect[];
  readonly total: number;
  readonly effects: readonly string[];
}

const KERNEL_CASES: readonly KernelCase[] = [
  {
    name: "runs the handler of a command",
    act: (kernel) => kernel.run(ADD, 2, 0),
    total: 2,
    effects: ["added-2"],
  },
  {
    name: "runs handlers of higher priority first",
    act: (kernel) => {
      kernel.registerCommand(
        ADD,
        (_by, update) => update.emit({ kind: "critical" }),
        CommandPriority.Critical,
      );
      return kernel.run(ADD, 1, 0);
    },
    total: 1,
    effects: ["critical", "added-1"],
  },
  {
    name: "stops at a handler that returns true",
    act: (kernel) => {
      kernel.registerCommand(ADD, () => true, CommandPriority.High);
      return kernel.run(ADD, 1, 0);
    },
    total: 0,
    effects: [],
  },
  {
    name: "doesn't run a handler that was removed",
    act: (kernel) => {
      const undo = kernel.registerCommand(
        ADD,
        () => true,
        CommandPriority.High,
      );
      undo();
      return kernel.run(ADD, 1, 0);
    },
    total: 1,
    effects: ["added-1"],
  },
  {
    name: "runs nested commands in the same update",
    act: (kernel) =>
      kernel.update(0, (update) => {
        update.dispatch(ADD, 1);
        update.dispatch(ADD, 2);
      }),
    total: 3,
    effects: ["added-1", "added-2"],
  },
  {
    name: "runs periodic work when it is due",
    act: (kernel) => {
      kernel.registerPeriodic({
        intervalMs: 10,
        firstDelayMs: 10,
        run: (update) => update.dispatch(ADD, 1),
      });
      return [0, 5, 10, 15, 20].flatMap((now) => kernel.advance(now));
    },
    total: 2,
    effects: ["added-1", "added-1"],
  },
  {
    name: "runs periodic work at the longer interval while it is idle",
    act: (kernel) => {
      kernel.registerPeriodic({
        intervalMs: 10,
        isIdle: (update) => update.read(TOTAL).value >= 2,
        idleIntervalMs: 40,
        run: (update) => update.dispatch(ADD, 1),
      });
      return [0, 10, 20, 30, 40, 50].flatMap((now) => kernel.advance(now));
    },
    total: 3,
    effects: ["added-1", "added-1", "added-1"],
  },
];

const INVARIANT_CASES = [
  {
    name: "changing state after the commit",
    act: (kernel: Kernel) => {
      let kept: Update | undefined;
      kernel.update(0, (update) => {
        kept = update;
      });
      kept?.write(TOTAL);
    },
    message: "state total was changed outside an update",
  },
  {
    name: "an update within an update",
    act: (kernel: Kernel) =>
      kernel.update(0, () => {
        kernel.run(ADD, 1, 0);
      }),
    message: "updates can't be nested",
  },
  {
    name: "a state registered twice",
    act: (kernel: Kernel) => kernel.registerState(TOTAL, { value: 0 }),
    message: "state total is registered twice",
  },
] as const;

describe("Kernel", () => {
  for (const { name, act, total, effects } of KERNEL_CASES) {
    it(name, () => {
      const kernel = new KernelClass({ plugins: [new TotalPlugin()] });
      const emitted = act(kernel);
      expect(emitted.map((effect) => effect.kind)).to.deep.equal(effects);
      expect(kernel.read(TOTAL).value).to.equal(total);
    });
  }

  for (const { name, act, message } of INVARIANT_CASES) {
    it(`throws on ${name}`, () => {
      const kernel = new KernelClass({ plugins: [new TotalPlugin()] });
      expect(() => act(kernel)).to.throw(message);
    });
  }

  it("keeps what an event did before it failed, and runs the next", () => {
    const errors: unknown[] = [];
    const kernel = new KernelClass({
      plugins: [new TotalPlugin()],
      onError: (error) => errors.push(error),
    });
    const undo = kernel.registerCommand(ADD, () => {
      throw new Error("Broken");
    }, CommandPriority.Low);
    let periods = 0;
    kernel.registerPeriodic({
      intervalMs: 10,
      run: () => {
        throw new Error("Broken period");
      },
    });
    kernel.registerPeriodic({ intervalMs: 10, run: () => void periods++ });
    expect(kernel.run(ADD, 1, 0).map(({ kind }) => kind))
      .to.deep.equal(["added-1"]);
    undo();
    expect(kernel.run(ADD, 2, 0)).to.have.length(1);
    kernel.advance(0);
    kernel.advance(10);
    expect(kernel.read(TOTAL).value).to.equal(3);
    expect(periods).to.equal(2);
    expect(errors).to.have.length(3);
  });
});
