import { expect } from "chai";
import {
  AttemptStart,
  judgeRun,
  RunVerdict,
  type TaskRan,
} from "./run_sample.ts";
import { MAX_QUEUES, MIN_SAMPLES, MIN_WORKERS, RunTimes } from "./run_times.ts";
import {
  decodeSnapshot,
  encodeSnapshot,
  MAX_SNAPSHOT_BYTES,
} from "./snapshot.ts";

const RUN: TaskRan = {
  queue: "plans",
  workerId: "w0",
  start: AttemptStart.Fresh,
  ranMs: 1_900,
  confirmMs: 10,
  estimateMs: 1_000,
  slowness: 1,
  isHealthy: true,
  isRemote: false,
};

interface Load {
  readonly runs?: number;
  readonly workers?: number;
  readonly queue?: string;
  readonly ratio?: number;
}

function record(
  runTimes: RunTimes,
  { runs = 100, workers = 5, queue = "plans", ratio = 1.9 }: Load = {},
  now = 0,
): RunTimes {
  const ranMs = 1_000 * ratio;
  // The runs end one after the other, the last one now.
  const intervalMs = 2.1 * ranMs / (runs - 1);
  for (let index = 0; index < runs; index++) {
    const workerId = `w${index % workers}`;
    const endMs = now - (runs - 1 - index) * intervalMs;
    runTimes.record({ ...RUN, queue, workerId, ranMs }, endMs);
  }
  return runTimes;
}

/** Returns the state of a successor that has read the snapshot. */
function succeed(snapshot: Readonly<Record<string, unknown>>): RunTimes {
  const runTimes = new RunTimes();
  const { queues } = decodeSnapshot(JSON.parse(JSON.stringify(snapshot)));
  queues.forEach((counts, queue) => runTimes.merge(queue, counts, 0));
  return runTimes;
}

describe("whether a run counts", () => {
  const cases: readonly [change: Partial<TaskRan>, verdict: RunVerdict][] = [
    [{}, RunVerdict.Counted],
    [{ start: AttemptStart.Resumed }, RunVerdict.Resumed],
    [{ start: AttemptStart.Adopted }, RunVerdict.UnknownStart],
    [{ confirmMs: undefined }, RunVerdict.UnknownStart],
    [{ confirmMs: 190 }, RunVerdict.Counted],
    [{ confirmMs: 191 }, RunVerdict.UnknownStart],
    [{ ranMs: 0, confirmMs: 0 }, RunVerdict.UnknownStart],
    [{ isHealthy: false }, RunVerdict.Unhealthy],
    [{ isRemote: true }, RunVerdict.Remote],
    // Guards against a factor that follows from jobs without an estimate.
    [{ estimateMs: 0 }, RunVerdict.NoEstimate],
    [{ estimateMs: 0.9 }, RunVerdict.NoEstimate],
    [{ estimateMs: 1 }, RunVerdict.Counted],
  ];
  for (const [change, verdict] of cases) {
    it(`is ${verdict} for ${JSON.stringify(change)}`, () => {
      expect(judgeRun({ ...RUN, ...change })).to.equal(verdict);
    });
  }
});

describe("the mean factor of a queue", () => {
  const cases: readonly {
    readonly name: string;
    readonly load: Load;
    readonly mean: number | undefined;
  }[] = [
    { name: "few runs", load: { runs: MIN_SAMPLES - 1 }, mean: undefined },
    { name: "enough runs", load: { runs: MIN_SAMPLES }, mean: 1.9 },
    {
      name: "too few workers",
      load: { workers: MIN_WORKERS - 1 },
      mean: undefined,
    },
    { name: "enough workers", load: { workers: MIN_WORKERS }, mean: 1.9 },
    { name: "estimates within the tolerance", load: { ratio: 1.1 }, mean: 1 },
    { name: "estimates far too short", load: { ratio: 12 }, mean: 4 },
    { name: "estimates far too long", load: { ratio: 0.01 }, mean: 0.25 },
    { name: "runs beyond those kept", load: { runs: 5_000 }, mean: 1.9 },
  ];
  for (const { name, load, mean } of cases) {
    it(`is ${mean ?? "not known"} after ${name}`, () => {
      const factors = record(new RunTimes(), load).factorsOf("plans");
      if (mean === undefined) {
        expect(factors).to.equal(undefined);
      } else {
        expect(factors!.mean).to.be.closeTo(mean, 0.03 * mean);
        expect(factors!.samples).to.be.within(MIN_SAMPLES, 1_024);
      }
    });
  }

  // Guards against a factor that follows from the shortest of the tasks that
  // start together.
  for (const spread of [0.2, 0.5]) {
    it(`never falls while 300 tasks with a spread of ${spread} run`, () => {
      const runTimes = new RunTimes();
      for (let index = 0; index < 300; index++) {
        const ranMs = 1_000 * (1 - spread + 2 * spread * index / 299);
        const workerId = `w${index % 5}`;
        runTimes.record({ ...RUN, workerId, ranMs }, ranMs);
        expect(runTimes.factorsOf("plans")?.mean ?? 1).to.equal(1);
      }
    });
  }

  it("follows a change of the run times", () => {
    const runTimes = record(new RunTimes(), { runs: 5_000, ratio: 0.5 });
    record(runTimes, { runs: 5_000 }, 10_000);
    expect(runTimes.factorsOf("plans")!.mean).to.be.closeTo(1.9, 0.1);
  });

  it("is dropped ten minutes after the last run", () => {
    const runTimes = record(new RunTimes());
    runTimes.expire(600_000);
    expect(runTimes.factorsOf("plans")).not.to.equal(undefined);
    runTimes.expire(600_001);
    expect(runTimes.factorsOf("plans")).to.equal(undefined);
  });

  it("is kept for the queues that ran last", () => {
    const runTimes = new RunTimes();
    for (let index = 0; index <= MAX_QUEUES; index++) {
      record(runTimes, { queue: `queue-${index}` }, index);
    }
    expect(runTimes.namesByDeviation()).to.have.length(MAX_QUEUES);
    expect(runTimes.factorsOf("queue-0")).to.equal(undefined);
  });

  it("is logged once while it stays, and at most every ten seconds", () => {
    const runTimes = new RunTimes();
    const logged: number[] = [];
    for (let now = 0; now < 40_000; now += 10) {
      const ranMs = now % 20_000 < 10_000 ? 1_900 : 600;
      const workerId = `w${now % 70}`;
      const change = runTimes.record({ ...RUN, workerId, ranMs }, now);
      if (change !== undefined) {
        logged.push(now);
      }
    }
    expect(logged).to.have.length.within(2, 4);
  });
});

describe("a successor", () => {
  it("knows the factors and corrects them by its own runs", () => {
    const owner = record(new RunTimes(), { runs: 5_000 });
    record(owner, { queue: "nightly", ratio: 0.5 });
    const successor = succeed(encodeSnapshot(owner));
    for (const queue of ["plans", "nightly"]) {
      const { mean, upper } = owner.factorsOf(queue)!;
      expect(successor.factorsOf(queue)).to.include({ mean, upper });
    }
    record(successor, { runs: 2_000, ratio: 0.5 });
    expect(successor.factorsOf("plans")!.mean).to.be.below(0.7);
  });

  it("reads no more than the bound from an owner with many queues", () => {
    const owner = new RunTimes();
    for (let index = 0; index < MAX_QUEUES; index++) {
      const queue = `${index}-${"\u00fc".repeat(60)}`;
      record(owner, { queue, ratio: 1 + index / 20 });
    }
    const snapshot = encodeSnapshot(owner);
    const bytes = new TextEncoder().encode(JSON.stringify(snapshot)).length;
    expect(bytes).to.be.at.most(MAX_SNAPSHOT_BYTES);
    expect(Object.keys(snapshot)).to.include(owner.namesByDeviation()[0]);
  });

  const malformed: readonly [name: string, value: unknown][] = [
    ["no list", { 60: 100 }],
    ["null", null],
    ["a text", "60,100"],
    ["an index without a count", [60, 100, 61]],
    ["an index beyond the buckets", [128, 100]],
    ["a negative index", [-1, 100]],
    ["a fraction", [60.5, 100]],
    ["a count of 0", [60, 0, 61, 100]],
    ["a count that isn't a number", [60, "100"]],
    ["an index twice", [60, 50, 60, 50]],
    ["too many runs", [60, 1e15]],
    ["too few runs", [60, MIN_SAMPLES - 1]],
    ["a long list", Array(100_000).fill(1)],
  ];
  for (const [name, value] of malformed) {
    it(`leaves out a queue with ${name}, and reads the others`, () => {
      const decoded = decodeSnapshot({ bad: value, good: [60, 100] });
      expect([...decoded.queues.keys()]).to.deep.equal(["good"]);
      expect(decoded.unreadable).to.equal(1);
    });
  }
});
