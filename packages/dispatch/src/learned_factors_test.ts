import { Random } from "@mustardweir/kernel";
import { AttemptStart, RunTimes } from "@mustardweir/run-times";
import { expect } from "chai";
import { WorkerHealth } from "./health.ts";

const ESTIMATE_MS = 1_000;
const WORKERS = 20;
const STAGES = 60;
const TASKS = 10;
/** Largest spread of run times around their mean. */
const SPREAD = 0.2;
const TAIL_FACTOR = 7;

interface LoadCase {
  readonly name: string;
  /** Usual run time relative to the estimate. */
  readonly ratio: number;
  /** Share of the tasks that take seven times as long. */
  readonly tailShare?: number;
  /** Speed of the first worker relative to the others; 1 by default. */
  readonly firstSpeed?: number;
  readonly mean: number;
  readonly margin: number;
  readonly upperAtMost: number;
}

// Guards against factors that follow single workers or tasks. The margins are
// half of the tolerance, 0.15, relative to the mean; all of it with a tail.
const CASES: readonly LoadCase[] = [
  { name: "right", ratio: 1, mean: 1, margin: 0, upperAtMost: 1.25 },
  {
    name: "twice as long",
    ratio: 0.5,
    mean: 0.5,
    margin: 0.04,
    upperAtMost: 1,
  },
  { name: "too short", ratio: 1.9, mean: 1.9, margin: 0.14, upperAtMost: 2.4 },
  {
    name: "right but for 3% of the tasks",
    ratio: 1,
    tailShare: 0.03,
    mean: 1.18,
    margin: 0.18,
    upperAtMost: 1.6,
  },
  {
    name: "right but on a worker that takes five times as long",
    ratio: 1,
    firstSpeed: 0.2,
    mean: 1,
    margin: 0,
    upperAtMost: 1.6,
  },
  {
    name: "too short, with a worker that takes five times as long",
    ratio: 1.9,
    firstSpeed: 0.2,
    mean: 1.9,
    margin: 0.28,
    upperAtMost: 2.85,
  },
];

/** Runs stages whose tasks end in the order of their run times. */
function learn(load: LoadCase, seed: number): RunTimes {
  const { ratio, tailShare = 0, firstSpeed = 1 } = load;
  const random = new Random(seed);
  const health = new WorkerHealth();
  const runTimes = new RunTimes();
  for (let stage = 0; stage < STAGES; stage++) {
    const runs = Array.from({ length: TASKS }, () => {
      const worker = random.below(WORKERS);
      const isTail = random.fraction() < tailShare;
      const spread = 1 + SPREAD * (2 * random.fraction() - 1);
      const ranMs = ESTIMATE_MS * ratio * spread *
        (isTail ? TAIL_FACTOR : 1) / (worker === 0 ? firstSpeed : 1);
      return { workerId: `w${worker}`, ranMs };
    }).sort((a, b) => a.ranMs - b.ranMs);
    let totalMs = 0;
    runs.forEach(({ workerId, ranMs }, ended) => {
      runTimes.record({
        queue: "plans",
        workerId,
        start: AttemptStart.Fresh,
        ranMs,
        confirmMs: 1,
        estimateMs: ESTIMATE_MS,
        slowness: health.slowness(workerId),
        isHealthy: true,
        isRemote: false,
      }, stage * ESTIMATE_MS);
      if (ended > 0) {
        health.ran(workerId, ranMs / (totalMs / ended));
      }
      totalMs += ranMs;
    });
  }
  return runTimes;
}

describe("factors learned from runs on workers of estimated slowness", () => {
  for (const load of CASES) {
    for (const seed of [1, 2, 3]) {
      it(`follow estimates that are ${load.name}, seed ${seed}`, () => {
        const factors = learn(load, seed).factorsOf("plans")!;
        expect(factors.mean).to.be.closeTo(load.mean, load.margin);
        expect(factors.upper).to.be.within(factors.mean, load.upperAtMost);
      });
    }
  }
});
