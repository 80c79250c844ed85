/** Most queues whose factor is kept; the one idle for longest is dropped. */
export const MAX_FACTOR_QUEUES = 64;
/**
 * Number of runs near and of runs away from which the measured factor is used.
 * With a spread of 20% it is then known within about 6%.
 */
export const MIN_FACTOR_RUNS = 20;
/** Number of runs over which older ones fade. */
const SMOOTHING_RUNS = 200;
/** Bounds of a measured factor. */
const MAX_FACTOR = 8;
/** Bounds of the ratio of one run to its estimate. */
const MIN_RATIO = 0.05;
const MAX_RATIO = 32;

/** Smoothed logarithm of the ratios of real to estimated run time. */
interface RatioMean {
  runs: number;
  log: number;
}

interface QueueRatios {
  readonly near: RatioMean;
  readonly away: RatioMean;
}

/** A task that ended done on a healthy worker. */
export interface MeasuredRun {
  readonly queue: string;
  readonly isRemote: boolean;
  readonly ranMs: number;
  /** The caller's estimate, in milliseconds. */
  readonly estimateMs: number;
}

/**
 * How many times as long the tasks of a queue run away from their rack: the
 * geometric mean of the ratios of runs away, divided by that of runs near. Of
 * 3% of tasks that take 7 times as long, a geometric mean moves by 6%; and both
 * means move alike. Takes about 200 bytes for each of at most
 * {@link MAX_FACTOR_QUEUES} queues.
 */
export class RemoteFactors {
  readonly #queues = new Map<string, QueueRatios>();

  /** Returns the measured factor; undefined while too little is known. */
  factorOf(queue: string): number | undefined {
    const ratios = this.#queues.get(queue);
    if (
      ratios === undefined || ratios.near.runs < MIN_FACTOR_RUNS ||
      ratios.away.runs < MIN_FACTOR_RUNS
    ) {
      return undefined;
    }
    const factor = Math.exp(ratios.away.log - ratios.near.log);
    return Math.min(Math.max(factor, 1), MAX_FACTOR);
  }

  /** Names of the queues with a measured factor. */
  get measured(): readonly string[] {
    return [...this.#queues.keys()].filter((queue) =>
      this.factorOf(queue) !== undefined
    );
  }

  /** Adds a run that ended done. */
  record({ queue, isRemote, ranMs, estimateMs }: MeasuredRun): void {
    const known = this.#queues.get(queue) ??
      { near: { runs: 0, log: 0 }, away: { runs: 0, log: 0 } };
    this.#queues.delete(queue);
    if (this.#queues.size >= MAX_FACTOR_QUEUES) {
      const [oldest] = this.#queues.keys();
      this.#queues.delete(oldest!);
    }
    this.#queues.set(queue, known);
    const ratio = Math.min(
      Math.max(ranMs / Math.max(estimateMs, 1), MIN_RATIO),
      MAX_RATIO,
    );
    const mean = isRemote ? known.away : known.near;
    mean.runs++;
    mean.log += (Math.log(ratio) - mean.log) /
      Math.min(mean.runs, SMOOTHING_RUNS);
  }

  /** Drops all queues, at a change of the owner. */
  clear(): void {
    this.#queues.clear();
  }
}
