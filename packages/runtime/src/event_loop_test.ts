import {
  CommandPriority,
  createCommand,
  Kernel,
  type Update,
} from "@mustardweir/kernel";
import {
  count,
  type CountEffect,
  EffectKind,
  type NodeEffect,
} from "@mustardweir/protocol";
import { expect } from "chai";
import {
  EventLoop,
  type EventSink,
  Metrics,
  Performer,
  SystemClock,
} from "./mod.ts";

const WAIT_LIMIT_MS = 10_000;
const NUMBERS = Array.from({ length: 1_000 }, (_, index) => String(index));
/** Interval of periodic work, in milliseconds. */
const PERIOD_MS = 50;
/** Time that an event takes by the manual clock, in milliseconds. */
const EVENT_MS = 3;
const NAMED = createCommand<string>("named");
/** Time that a slow performer takes, in milliseconds. */
const SLOW_MS = 60;

/** When a performer is slow. */
enum Phase {
  Start = "start",
  Close = "close",
}

/** Records counters in order; posts a reply to those named `ask-…`. */
class RecordingPerformer extends Performer {
  override readonly kinds = [EffectKind.Count];
  readonly performed: string[] = [];
  closed = false;

  override perform(effect: NodeEffect, sink: EventSink): void {
    const { counter } = effect as CountEffect;
    this.performed.push(counter);
    if (counter.startsWith("ask-")) {
      sink.post(NAMED, counter.replace("ask-", "answer-"));
    }
  }

  override close(): Promise<void> {
    this.closed = true;
    return Promise.resolve();
  }
}

/** Takes its time to start and to close, and posts an event meanwhile. */
class SlowPerformer extends Performer {
  override readonly kinds = [];
  readonly #slowPhase: Phase;
  #sink: EventSink | undefined;

  constructor(slowPhase: Phase) {
    super();
    this.#slowPhase = slowPhase;
  }

  override perform(): void {}

  override start(sink: EventSink): Promise<void> {
    this.#sink = sink;
    return this.#linger(Phase.Start);
  }

  override close(): Promise<void> {
    return this.#linger(Phase.Close);
  }

  async #linger(phase: Phase): Promise<void> {
    if (phase === this.#slowPhase) {
      this.#sink?.post(NAMED, phase);
      await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
    }
  }
}

/** The system clock, with the number of times it was read. */
class CountingClock extends SystemClock {
  reads = 0;

  override now(): number {
    this.reads += 1;
    return super.now();
  }
}

/** A clock that stands still except when a test sets it. */
class ManualClock extends SystemClock {
  ms = 0;

  override now(): number {
    return this.ms;
  }
}

function emitName(name: string, update: Update): void {
  update.emit(count(name));
}

interface LoopCase {
  readonly name: string;
  readonly post: (loop: EventLoop) => void;
  readonly periodicMs?: number;
  readonly performed: readonly string[];
}

const LOOP_CASES: readonly LoopCase[] = [
  {
    name: "events in the order in which they were posted",
    post: (loop) => ["a", "b", "c"].forEach((name) => loop.post(NAMED, name)),
    performed: ["a", "b", "c"],
  },
  {
    name: "replies after the events that were queued before",
    post: (loop) => ["ask-1", "b"].forEach((name) => loop.post(NAMED, name)),
    performed: ["ask-1", "b", "answer-1"],
  },
  {
    name: "more events than one turn handles",
    post: (loop) => NUMBERS.forEach((name) => loop.post(NAMED, name)),
    performed: NUMBERS,
  },
  {
    name: "periodic work without events",
    post: () => {},
    periodicMs: 10,
    performed: ["periodic", "periodic", "periodic"],
  },
];

async function waitUntil(condition: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_LIMIT_MS;
  while (!condition() && performance.now() < end) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

function createKernel(periodicMs?: number): Kernel {
  const kernel = new Kernel();
  kernel.registerCommand(NAMED, emitName, CommandPriority.Normal);
  if (periodicMs !== undefined) {
    kernel.registerPeriodic({
      intervalMs: periodicMs,
      run: (update) => update.emit(count("periodic")),
    });
  }
  return kernel;
}

describe("EventLoop", () => {
  for (const { name, post, periodicMs, performed } of LOOP_CASES) {
    it(`runs ${name}`, async () => {
      const performer = new RecordingPerformer();
      const kernel = createKernel(periodicMs);
      const loop = new EventLoop({ kernel, performers: [performer] });
      await loop.start();
      post(loop);
      await waitUntil(() => performer.performed.length >= performed.length);
      await loop.stop();
      expect(performer.performed.slice(0, performed.length)).to.deep.equal(
        performed,
      );
      expect(performer.closed).to.equal(true);
    });
  }

  // Guards against decisions of a process while the address at which it accepts
  // peers is free for the next one: that one takes it for ended.
  for (const phase of Object.values(Phase)) {
    it(`decides nothing while a performer's ${phase} is pending`, async () => {
      const recording = new RecordingPerformer();
      const loop = new EventLoop({
        kernel: createKernel(1),
        performers: [new SlowPerformer(phase), recording],
      });
      const starting = loop.start();
      await (phase === Phase.Start ? Promise.resolve() : starting);
      const pending = phase === Phase.Start ? starting : loop.stop();
      const { length } = recording.performed;
      await new Promise((resolve) => setTimeout(resolve, SLOW_MS / 2));
      const meanwhile = recording.performed.slice(length);
      await pending;
      await loop.stop();
      expect(meanwhile).to.deep.equal([]);
    });
  }

  it("handles all events that arrived during a pause before its periodic work", async () => {
    const performer = new RecordingPerformer();
    const kernel = createKernel(PERIOD_MS);
    const loop = new EventLoop({ kernel, performers: [performer] });
    await loop.start();
    await waitUntil(() => performer.performed.length > 0);
    performer.performed.length = 0;
    Atomics.wait(
      new Int32Array(new SharedArrayBuffer(4)),
      0,
      0,
      2 * PERIOD_MS,
    );
    NUMBERS.forEach((name) => loop.post(NAMED, name));
    await waitUntil(() => performer.performed.length > NUMBERS.length);
    await loop.stop();
    expect(performer.performed.slice(0, NUMBERS.length)).to.deep.equal(NUMBERS);
  });

  it("wakes up no more often than its periodic work requires", async () => {
    const clock = new CountingClock();
    const performer = new RecordingPerformer();
    const kernel = createKernel(20.5);
    const loop = new EventLoop({ kernel, performers: [performer], clock });
    await loop.start();
    await waitUntil(() => performer.performed.length >= 10);
    await loop.stop();
    // A turn without events reads the clock twice: for the periodic work and
    // for the next timer. The factor allows for timers that fire early.
    const turns = clock.reads / 2;
    expect(turns).to.be.at.most(1.5 * performer.performed.length);
  });

  // Guards against events whose time is counted for another kind or not at all.
  it("counts the time of events by kind", async () => {
    const clock = new ManualClock();
    const kernel = new Kernel();
    kernel.registerCommand(NAMED, () => {
      clock.ms += EVENT_MS;
    }, CommandPriority.Normal);
    const metrics = new Metrics();
    const loop = new EventLoop({ kernel, performers: [], clock, metrics });
    await loop.start();
    loop.post(NAMED, "a");
    loop.post(NAMED, "b");
    await waitUntil(() => metrics.counter("events-named") === 2);
    await loop.stop();
    const { counters, gauges } = metrics.snapshot();
    expect(counters["event-us-named"]).to.equal(2 * EVENT_MS * 1_000);
    expect(counters["event-us-periodic"]).to.equal(0);
    expect(counters["event-us-turn"]).to.equal(2 * EVENT_MS * 1_000);
    expect(gauges["event-longest-ms-named"]).to.equal(EVENT_MS);
    expect(gauges["event-longest-ms-turn"]).to.equal(2 * EVENT_MS);
  });

  it("does not poll without work", async () => {
    const clock = new CountingClock();
    const loop = new EventLoop({
      kernel: createKernel(),
      performers: [],
      clock,
    });
    await loop.start();
    await new Promise((resolve) => setTimeout(resolve, 200));
    await loop.stop();
    expect(clock.reads).to.be.at.most(2);
  });

  it("throws if two performers handle the same kind of effect", () => {
    const performers = [new RecordingPerformer(), new RecordingPerformer()];
    expect(() => new EventLoop({ kernel: createKernel(), performers }))
      .to.throw("effect count has two performers");
  });
});
