import { createStateKey } from "@mustardweir/kernel";
import { type BucketCount, RatioHistogram } from "./ratio_histogram.ts";
import type { TaskRan } from "./run_sample.ts";

/** Most queues whose run times are kept; the one idle for longest is dropped. */
export const MAX_QUEUES = 64;
/**
 * Number of runs from which a queue's factor is used. Where 3% of the tasks take
 * 7 times as long, the mean of 50 has a standard error of 0.145, about the
 * tolerance within which an estimate counts as right.
 */
export const MIN_SAMPLES = 50;
/** Number of workers that the runs must come from: one may be slow. */
export const MIN_WORKERS = 3;
/** Number of runs at which older ones lose half of their weight. */
const MAX_SAMPLES = 1_024;
/** Number of runs after which the factors are computed anew. */
const REFRESH_SAMPLES = 10;
/**
 * Multiple of the longest run for which runs are collected before a factor is
 * used: of tasks that start together the short ones end first, and the mean of
 * 50 such runs was 0.53 to 0.84 of the right one.
 */
const COLLECTION_RUNS = 2;
/** Largest deviation from 1 at which the caller's estimate counts as right. */
const TOLERANCE = 0.15;
/** Bounds of the mean factor and of the upper one. */
const MIN_FACTOR = 0.25;
const MAX_MEAN_FACTOR = 4;
const MAX_UPPER_FACTOR = 8;
/**
 * The upper quantile. A tail of 3% doesn't determine it, so that no room is held
 * for seven times the usual run time.
 */
const UPPER_QUANTILE = 0.9;
/** Relative step by which a run moves the median slowness towards its worker's. */
const SLOWNESS_STEP = 0.01;
/**
 * Time without a run after which a queue's factor is dropped, in milliseconds.
 * Jobs that a wrong factor keeps from running would never correct it otherwise.
 */
const RETENTION_MS = 600_000;
/** Ratio of two factors from which a change is logged. */
const NOTABLE_RATIO = 1.25;
/** Shortest interval between two log lines of a queue, in milliseconds. */
const QUEUE_LOG_INTERVAL_MS = 10_000;
/** Shortest interval between two log lines of all queues, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Real run times of a queue relative to the callers' estimates. */
export interface RunFactors {
  readonly mean: number;
  /** Upper quantile; at least the mean. */
  readonly upper: number;
  /** Number of runs that the factors follow from. */
  readonly samples: number;
}

/** A change of a queue's mean factor that is worth a log line. */
export interface FactorChange {
  readonly queue: string;
  readonly factor: number;
  readonly former: number;
  readonly samples: number;
}

/** A queue's factors, and the counts that they follow from. */
export interface LearnedQueue {
  readonly queue: string;
  readonly factors: RunFactors;
  readonly counts: readonly BucketCount[];
}

interface QueueRuns {
  readonly ratios: RatioHistogram;
  /** The first workers seen, up to {@link MIN_WORKERS}. */
  readonly workers: Set<string>;
  /** Whether a former owner has seen enough workers. */
  isInherited: boolean;
  sinceRefresh: number;
  /** Time of the first run, in milliseconds. */
  firstMs: number;
  /** Longest run, in milliseconds. */
  longestMs: number;
  /** Undefined while too little is known. */
  factors: RunFactors | undefined;
  seenMs: number;
  loggedFactor: number;
  loggedMs: number;
}

/**
 * Run times of the queues relative to the callers' estimates. Takes about 2 KB
 * for each of at most {@link MAX_QUEUES} queues.
 *
 * @example
 * ```ts
 * runTimes.record(run, update.now);
 * runTimes.factorsOf("alerts")?.mean; // 1.9 after enough runs
 * ```
 */
export class RunTimes {
  /** By name, the queue with the oldest run first. */
  readonly #queues = new Map<string, QueueRuns>();
  /**
   * Estimated median of the workers' slowness over all runs. Their mean would
   * move by a fifth for one worker in 20 that takes five times as long.
   */
  #medianSlowness = 1;
  #loggedMs = -Infinity;

  /** Returns the factors of a queue; undefined while too little is known. */
  factorsOf(queue: string): RunFactors | undefined {
    return this.#queues.get(queue)?.factors;
  }

  /**
   * Adds a run that counts; its ratio is divided by the worker's slowness
   * relative to other workers. Returns a change that is to be logged.
   */
  record(run: TaskRan, now: number): FactorChange | undefined {
    const { queue, workerId, ranMs, estimateMs, slowness } = run;
    const runs = this.#open(queue, now);
    const relativeSlowness = slowness / this.#medianSlowness;
    this.#approachSlowness(slowness);
    runs.ratios.record(ranMs / estimateMs / relativeSlowness);
    if (runs.workers.size < MIN_WORKERS) {
      runs.workers.add(workerId);
    }
    runs.longestMs = Math.max(runs.longestMs, ranMs);
    if (++runs.sinceRefresh < REFRESH_SAMPLES) {
      return undefined;
    }
    refresh(runs, now);
    return this.#notableChange(queue, runs, now);
  }

  /** Adds what a former owner has published of a queue. */
  merge(queue: string, counts: readonly BucketCount[], now: number): void {
    const runs = this.#open(queue, now);
    runs.ratios.add(counts);
    runs.isInherited = true;
    refresh(runs, now);
    runs.loggedFactor = runs.factors?.mean ?? 1;
  }

  /**
   * Returns the queues with factors, those that differ most from 1 first; each
   * with the counts of at most `samples` runs.
   */
  listLearned(samples: number): LearnedQueue[] {
    return this.namesByDeviation().map((queue) => {
      const { factors, ratios } = this.#queues.get(queue)!;
      return { queue, factors: factors!, counts: ratios.list(samples) };
    });
  }

  /** Returns the mean factors of the queues whose estimates are off. */
  listFactors(): Record<string, number> {
    return Object.fromEntries(
      [...this.#queues].flatMap(([queue, { factors }]) =>
        factors === undefined || factors.mean === 1
          ? []
          : [[queue, Math.round(factors.mean * 100) / 100]]
      ),
    );
  }

  /** Returns the names of the queues with factors in the same order. */
  namesByDeviation(): string[] {
    const deviationOf = ({ mean }: RunFactors) => Math.abs(Math.log(mean));
    return [...this.#queues]
      .flatMap(([queue, { factors }]) =>
        factors === undefined ? [] : [{ queue, factors }]
      )
      .sort((a, b) => deviationOf(b.factors) - deviationOf(a.factors))
      .map(({ queue }) => queue);
  }

  /** Drops the queues that have had no run for long. */
  expire(now: number): void {
    for (const [queue, { seenMs }] of this.#queues) {
      if (now - seenMs <= RETENTION_MS) {
        return;
      }
      this.#queues.delete(queue);
    }
  }

  /** Drops all queues, at a change of the owner. */
  clear(): void {
    this.#queues.clear();
    this.#medianSlowness = 1;
  }

  #approachSlowness(slowness: number): void {
    const highest = this.#medianSlowness * (1 + SLOWNESS_STEP);
    const lowest = this.#medianSlowness / (1 + SLOWNESS_STEP);
    this.#medianSlowness = Math.min(Math.max(slowness, lowest), highest);
  }

  /** Returns a queue's runs and moves them behind those of the others. */
  #open(queue: string, now: number): QueueRuns {
    const runs = this.#queues.get(queue) ?? createQueueRuns(now);
    this.#queues.delete(queue);
    if (this.#queues.size >= MAX_QUEUES) {
      const [oldest] = this.#queues.keys();
      this.#queues.delete(oldest!);
    }
    this.#queues.set(queue, runs);
    runs.seenMs = now;
    return runs;
  }

  #notableChange(
    queue: string,
    runs: QueueRuns,
    now: number,
  ): FactorChange | undefined {
    const { factors, loggedFactor: former } = runs;
    if (
      factors === undefined || now - runs.loggedMs < QUEUE_LOG_INTERVAL_MS ||
      now - this.#loggedMs < LOG_INTERVAL_MS
    ) {
      return undefined;
    }
    const { mean: factor, samples } = factors;
    if (Math.max(factor / former, former / factor) < NOTABLE_RATIO) {
      return undefined;
    }
    runs.loggedFactor = factor;
    runs.loggedMs = now;
    this.#loggedMs = now;
    return { queue, factor, former, samples };
  }
}

/** State of the run-times plug-in. */
export const RUN_TIMES = createStateKey<RunTimes>("run-times");

function createQueueRuns(now: number): QueueRuns {
  return {
    ratios: new RatioHistogram(),
    workers: new Set(),
    isInherited: false,
    sinceRefresh: 0,
    firstMs: now,
    longestMs: 0,
    factors: undefined,
    seenMs: 0,
    loggedFactor: 1,
    loggedMs: -Infinity,
  };
}

function refresh(runs: QueueRuns, now: number): void {
  const { ratios, workers, isInherited, firstMs, longestMs } = runs;
  runs.sinceRefresh = 0;
  if (ratios.count >= MAX_SAMPLES) {
    ratios.shrink(MAX_SAMPLES / 2);
  }
  const isCollected = isInherited || (workers.size >= MIN_WORKERS &&
    now - firstMs >= COLLECTION_RUNS * longestMs);
  const isKnown = ratios.count >= MIN_SAMPLES && isCollected;
  runs.factors = isKnown ? factorsFrom(ratios) : undefined;
}

function factorsFrom(ratios: RatioHistogram): RunFactors {
  const mean = boundFactor(ratios.mean, MAX_MEAN_FACTOR);
  const upper = boundFactor(ratios.quantile(UPPER_QUANTILE), MAX_UPPER_FACTOR);
  return { mean, upper: Math.max(mean, upper), samples: ratios.count };
}

function boundFactor(factor: number, max: number): number {
  return Math.abs(factor - 1) <= TOLERANCE
    ? 1
    : Math.min(Math.max(factor, MIN_FACTOR), max);
}
