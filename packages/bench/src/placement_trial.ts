import { Random } from "@mustardweir/kernel";
import { dominantShare, type Resources } from "@mustardweir/model";
import type { InstanceTable, PlacementPolicy } from "@mustardweir/placement";
import { build as buildHistogram } from "hdr-histogram-js";
import { exponential } from "./workload/distributions.ts";
import { EventQueue } from "./workload/event_queue.ts";
import { createFleet } from "./workload/fleet.ts";
import { drawTask, type WorkloadTask } from "./workload/tasks.ts";

/** The policy to measure, the fleet and the load. */
export interface PlacementTrialOptions {
  readonly policy: PlacementPolicy;
  /** Places the tasks of the warm-up; `policy` by default. */
  readonly warmUpPolicy?: PlacementPolicy;
  readonly instances: number;
  readonly seed: number;
  /** Offered work relative to the fleet's scarcest plain resource. */
  readonly load?: number;
  /** Tasks offered for each instance, before and while measuring. */
  readonly warmUpPerInstance?: number;
  readonly measuredPerInstance?: number;
}

/** What the choices of a policy cost, and how well they packed. */
export interface PlacementTrialResult {
  /** Mean time of a choice with the taking and giving back, in microseconds. */
  readonly costUs: number;
  /** 99th percentile of the time of a choice, in microseconds. */
  readonly p99Us: number;
  /** Work placed, as dominant share times time, by the work offered. */
  readonly packed: number;
  /** The same for work that needs accelerators. */
  readonly acceleratedPacked: number;
  /** Mean fraction of processors in use. */
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
 * Offers a seeded stream of tasks to a fleet until it is full and on; a task
 * that doesn't fit when it comes is lost.
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
  readonly #tasks: Random;
  readonly #choices: Random;
  readonly #rate: number;
  readonly #ends = new EventQueue<RunningTask>();
  #histogram = buildHistogram();
  #sums = createSums();
  #now = 0;

  constructor(options: PlacementTrialOptions) {
    this.#table = createFleet(options.instances);
    this.#total = this.#table.totalCapacity();
    this.#tasks = new Random(options.seed);
    this.#choices = new Random(options.seed + 1);
    const load = options.load ?? DEFAULT_LOAD;
    this.#rate = load * arrivalRate(this.#total, options.seed + 2);
  }

  offer(count: number, policy: PlacementPolicy): void {
    for (let i = 0; i < count; i++) {
      const gap = exponential(this.#tasks, this.#rate);
      this.#advance(gap);
      this.#arrive(drawTask(this.#tasks), policy);
    }
  }

  startMeasuring(): void {
    this.#histogram = buildHistogram();
    this.#sums = createSums();
  }

  result(): PlacementTrialResult {
    const sums = this.#sums;
    return {
      costUs: sums.ns / sums.choices / NS_PER_US,
      p99Us: this.#histogram.getValueAtPercentile(99) / NS_PER_US,
      packed: sums.placed / sums.offered,
      acceleratedPacked: sums.acceleratedPlaced / sums.acceleratedOffered,
      cpuUse: sums.cpuTime / sums.time / this.#total.cpuMillis,
    };
  }

  #advance(gap: number): void {
    const until = this.#now + gap;
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
    const index = policy.choose(this.#table, { size }, this.#choices);
    const ns = Number(process.hrtime.bigint() - start);
    this.#histogram.recordValue(ns);
    this.#sums.ns += ns;
    this.#sums.choices += 1;
    this.#countTask(task, index >= 0);
    if (index < 0) {
      return;
    }
    const takeStart = process.hrtime.bigint();
    this.#table.allocate(index, size);
    this.#sums.ns += Number(process.hrtime.bigint() - takeStart);
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
    choices: 0,
    offered: 0,
    placed: 0,
    acceleratedOffered: 0,
    acceleratedPlaced: 0,
    time: 0,
    cpuTime: 0,
  };
}

/** Tasks a millisecond that would just fill the scarcest plain resource. */
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
