import { createStateKey } from "@mustardweir/kernel";
import {
  type FaultDetector,
  InstanceVerdict,
  LikelihoodDetector,
  TaskOutcome,
} from "@mustardweir/quarantine";

/** Time in quarantine before the first probe, in milliseconds. */
const FIRST_PROBE_MS = 2_000;
/** Longest interval between probes, in milliseconds. */
const MAX_PROBE_INTERVAL_MS = 16_000;
/** Time after which a probe that has not ended is repeated, in milliseconds. */
const PROBE_TIMEOUT_MS = 6_000;
/**
 * Time for which a worker that refused a start gets no others, in milliseconds.
 */
const REFUSAL_BACKOFF_MS = 500;

/** Weight of the newest run in the moving average of a worker's slowness. */
const SLOWNESS_SMOOTHING = 0.15;
/** Upper limit on the slowness that a single run contributes. */
const MAX_SLOWNESS = 8;

/** Circumstances of the end of a task. */
export interface OutcomeContext {
  /**
   * Queue of the task; tasks of one queue are expected to fail equally often on
   * all workers.
   */
  readonly queue: string;
  readonly now: number;
}

/** Detects workers that refuse or fail tasks or run them slowly. */
export class WorkerHealth {
  readonly #refusedUntilMs = new Map<string, number>();
  readonly #slowness = new Map<string, number>();
  #detector: FaultDetector = createDetector();

  /** Returns whether the worker refused a start recently. */
  isRefusing(workerId: string, now: number): boolean {
    return (this.#refusedUntilMs.get(workerId) ?? 0) > now;
  }

  /** Returns whether the worker is quarantined and no probe is due. */
  isQuarantined(workerId: string, now: number): boolean {
    return this.#detector.verdict(workerId, now) ===
      InstanceVerdict.Quarantined;
  }

  /** Returns whether the worker is neither quarantined nor being probed. */
  isHealthy(workerId: string, now: number): boolean {
    return this.#detector.verdict(workerId, now) === InstanceVerdict.Healthy;
  }

  /** Records the start of a task; on a quarantined worker it is a probe. */
  started(workerId: string, now: number): void {
    if (this.#detector.verdict(workerId, now) === InstanceVerdict.Probing) {
      this.#detector.probeStarted(workerId, now);
    }
  }

  /** Records the success of a task. */
  succeeded(workerId: string, { queue, now }: OutcomeContext): void {
    this.#detector.observe(workerId, TaskOutcome.Ok, queue, now);
  }

  /**
   * Records the failure of a task; returns whether this quarantines the worker.
   */
  failed(workerId: string, { queue, now }: OutcomeContext): boolean {
    const wasQuarantined = this.isQuarantined(workerId, now);
    this.#detector.observe(workerId, TaskOutcome.Failed, queue, now);
    return !wasQuarantined && this.isQuarantined(workerId, now);
  }

  /** Records a run that took `ratio` times the mean of its stage. */
  ran(workerId: string, ratio: number): void {
    const known = this.slowness(workerId);
    this.#slowness.set(
      workerId,
      known + SLOWNESS_SMOOTHING * (Math.min(ratio, MAX_SLOWNESS) - known),
    );
  }

  /**
   * Returns the smoothed run time relative to each stage's mean; 1 is average.
   */
  slowness(workerId: string): number {
    return this.#slowness.get(workerId) ?? 1;
  }

  /** Records that the worker refused a start. */
  refused(workerId: string, now: number): void {
    this.#refusedUntilMs.set(workerId, now + REFUSAL_BACKOFF_MS);
  }

  /** Clears all records, for a new tenure. */
  clear(): void {
    this.#refusedUntilMs.clear();
    this.#slowness.clear();
    this.#detector = createDetector();
  }
}

/** State key of the workers' health records. */
export const WORKER_HEALTH = createStateKey<WorkerHealth>("worker-health");

function createDetector(): FaultDetector {
  return new LikelihoodDetector({
    firstGapMs: FIRST_PROBE_MS,
    maxGapMs: MAX_PROBE_INTERVAL_MS,
    probeTimeoutMs: PROBE_TIMEOUT_MS,
    probesToReturn: 1,
  });
}
