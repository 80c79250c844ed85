import { Random } from "@mustardweir/kernel";
import { dominantShare, type Resources } from "@mustardweir/model";
import type { InstanceTable, PlacementPolicy } from "@mustardweir/placement";
import { build as buildHistogram } from "hdr-histogram-js";
import { exponential } from "./workload/distributions.ts";
import { EventQueue } from "./workload/event_queue.ts";
import { createInstanceTable } from "./workload/fleet.ts";
import { drawTask, type WorkloadTask } from "./workload/tasks.ts";

/** The policy to measure, the fleet and the load. */
export interface PlacementTrialOptions {
  readonly policy: PlacementPolicy;
  /** The policy during the warm-up; `policy` by default. */
  readonly warmUpPolicy?: PlacementPolicy;
  readonly instances: number;
  readonly seed: number;
  /** Offered work, relative to the scarcest resource other than accelerators. */
  readonly load?: number;
  /** Tasks offered per instance during the warm-up, and while measuring. */
  readonly warmUpPerInstance?: number;
  readonly measuredPerInstance?: number;
}

/** Cost and packing of a policy's placement decisions. */
export interface PlacementTrialResult {
  /** Mean time of a decision, its allocation and release, in microseconds. */
  readonly costUs: number;
  /** 99th percentile of the time of a decision, in microseconds. */
  readonly p99Us: number;
  /** Work placed by work offered; work is dominant share times run time. */
  readonly packed: number;
  /** The same for work that needs accelerators. */
  readonly acceleratedPacked: number;
  /** Mean fraction of processor capacity in use. */
  readonly cpuUse: number;
}

interface RunningTask {
  readonly index: number;
  readonly size: Resources;
}

const DEFAULT_LOAD = 1.3;
const DEFAULT_WARM_UP = 16;
const DEFAULT_MEASURED = 16;
const SAMPLE_TASKS = 20_000;
const NS_PER_US = 1000;

/**
 * Offers a seeded stream of tasks to a fleet, first to fill it and then to
 * measure. A task that doesn't fit on arrival is dropped.
 */
export function runPlacementTrial(
  options: PlacementTrialOptions,
): PlacementTrialResult {
  const { instances, policy, warmUpPolicy = policy } = options;
  const warmUp = options.warmUpPerInstance ?? DEFAULT_WARM_UP;
  const measured = options.measuredPerInstance ?? DEFAULT_MEASURED;
  const trial = new PlacementTrial(options);
  trial.offer(instances * warmUp, warmUpPolicy);
  trial.startMeasuring();
  trial.offer(instances * measured, policy);
  return trial.result();
}

class PlacementTrial {
  readonly #table: InstanceTable;
  readonly #total: Resources;
  readonly #workloadRandom: Random;
  readonly #policyRandom: Random;
  readonly #rate: number;
  readonly #ends = new EventQueue<RunningTask>();
  #histogram = buildHistogram();
  #sums = createSums();
  #now = 0;

  constructor(options: PlacementTrialOptions) {
    this.#table = createInstanceTable(options.instances);
    this.#total = this.#table.totalCapacity();
    this.#workloadRandom = new Random(options.seed);
    this.#policyRandom = new Random(options.seed + 1);
    const load = options.load ?? DEFAULT_LOAD;
    this.#rate = load * arrivalRate(this.#total, options.seed + 2);
  }

  offer(count: number, policy: PlacementPolicy): void {
    for (let i = 0; i < count; i++) {
      const interval = exponential(this.#workloadRandom, this.#rate);
      this.#advance(interval);
      this.#arrive(drawTask(this.#workloadRandom), policy);
    }
  }

  startMeasuring(): void {
    this.#histogram = buildHistogram();
    this.#sums = createSums();
  }

  result(): PlacementTrialResult {
    const sums = this.#sums;
    return {
      costUs: sums.ns / sums.decisions / NS_PER_US,
      p99Us: this.#histogram.getValueAtPercentile(99) / NS_PER_US,
      packed: sums.placed / sums.offered,
      acceleratedPacked: sums.acceleratedPlaced / sums.acceleratedOffered,
      cpuUse: sums.cpuTime / sums.time / this.#total.cpuMillis,
    };
  }

  #advance(interval: number): void {
    const until = this.#now + interval;
    while (this.#ends.nextTime <= until) {
      this.#countUse(this.#ends.nextTime);
      const task = this.#ends.pop()!;
      const start = process.hrtime.bigint();
      this.#table.release(task.index, task.size);
      this.#sums.ns += Number(process.hrtime.bigint() - start);
    }
    this.#countUse(until);
  }

  #countUse(until: number): void {
    const elapsed = until - this.#now;
    const free = this.#table.totalFree().cpuMillis;
    this.#sums.time += elapsed;
    this.#sums.cpuTime += elapsed * (this.#total.cpuMillis - free);
    this.#now = until;
  }

  #arrive(task: WorkloadTask, policy: PlacementPolicy): void {
    const { size } = task;
    const start = process.hrtime.bigint();
    const index = policy.choose(this.#table, { size }, this.#policyRandom);
    const ns = Number(process.hrtime.bigint() - start);
    this.#histogram.recordValue(ns);
    this.#sums.ns += ns;
    this.#sums.decisions += 1;
    this.#countTask(task, index >= 0);
    if (index < 0) {
      return;
    }
    const allocateStart = process.hrtime.bigint();
    this.#table.allocate(index, size);
    this.#sums.ns += Number(process.hrtime.bigint() - allocateStart);
    this.#ends.push(this.#now + task.durationMs, { index, size });
  }

  #countTask(task: WorkloadTask, placed: boolean): void {
    const work = dominantShare(task.size, this.#total) * task.durationMs;
    const sums = this.#sums;
    sums.offered += work;
    sums.placed += placed ? work : 0;
    if (task.size.accelerators > 0) {
      sums.acceleratedOffered += work;
      sums.acceleratedPlaced += placed ? work : 0;
    }
  }
}

function createSums() {
  return {
    ns: 0,
    decisions: 0,
    offered: 0,
    placed: 0,
    acceleratedOffered: 0,
    acceleratedPlaced: 0,
    time: 0,
    cpuTime: 0,
  };
}

/**
 * Returns the number of tasks per millisecond that just fills the scarcest
 * resource, accelerators left aside.
 */
function arrivalRate(total: Resources, seed: number): number {
  const random = new Random(seed);
  let cpu = 0;
  let memory = 0;
  let slots = 0;
  for (let i = 0; i < SAMPLE_TASKS; i++) {
    const { size, durationMs } = drawTask(random);
    cpu += size.cpuMillis * durationMs;
    memory += size.memoryMb * durationMs;
    slots += size.slots * durationMs;
  }
  const scarcest = Math.max(
    cpu / total.cpuMillis,
    memory / total.memoryMb,
    slots / total.slots,
  );
  return SAMPLE_TASKS / scarcest;
}
