import { createStateKey } from "@mustardweir/kernel";
import {
  type FaultDetector,
  InstanceVerdict,
  LikelihoodDetector,
  TaskOutcome,
} from "@mustardweir/quarantine";

/** Time in quarantine before the first probe, in milliseconds. */
const FIRST_PROBE_MS = 2_000;
/** Longest gap between probes, in milliseconds. */
const MAX_PROBE_GAP_MS = 16_000;
/** A probe without an end is repeated after this, in milliseconds. */
const PROBE_TIMEOUT_MS = 6_000;
/** Refusals as unhealthy keep a worker out for this long, in milliseconds. */
const UNHEALTHY_BAN_MS = 500;

/** Weight of the newest run in a worker's smoothed slowness. */
const SLOWNESS_SMOOTHING = 0.15;
/** One run says no more than this about a worker. */
const MAX_SLOWNESS = 8;

/** What an end is evidence of. */
export interface EndContext {
  /** Tasks of one queue are expected to fail alike on all workers. */
  readonly queue: string;
  readonly now: number;
}

/** Keeps out workers that fail what they are given. */
export class WorkerHealth {
  readonly #refusedUntilMs = new Map<string, number>();
  readonly #slowness = new Map<string, number>();
  #detector: FaultDetector = createDetector();

  /** True when the worker refused work lately. */
  isRefusing(workerId: string, now: number): boolean {
    return (this.#refusedUntilMs.get(workerId) ?? 0) > now;
  }

  /** True when the worker is quarantined, and not to be probed now. */
  isQuarantined(workerId: string, now: number): boolean {
    return this.#detector.verdict(workerId, now) ===
      InstanceVerdict.Quarantined;
  }

  /** A task was started; on a quarantined worker it is a probe. */
  started(workerId: string, now: number): void {
    if (this.#detector.verdict(workerId, now) === InstanceVerdict.Probing) {
      this.#detector.probeStarted(workerId, now);
    }
  }

  /** A task ended done. */
  succeeded(workerId: string, { queue, now }: EndContext): void {
    this.#detector.observe(workerId, TaskOutcome.Ok, queue, now);
  }

  /** A task failed; true when the worker is quarantined by it. */
  failed(workerId: string, { queue, now }: EndContext): boolean {
    const wasOut = this.isQuarantined(workerId, now);
    this.#detector.observe(workerId, TaskOutcome.Failed, queue, now);
    return !wasOut && this.isQuarantined(workerId, now);
  }

  /** A run took `ratio` times as long as others of its stage. */
  ran(workerId: string, ratio: number): void {
    const known = this.slowness(workerId);
    this.#slowness.set(
      workerId,
      known + SLOWNESS_SMOOTHING * (Math.min(ratio, MAX_SLOWNESS) - known),
    );
  }

  /** How long runs take there, as a multiple of what is usual. */
  slowness(workerId: string): number {
    return this.#slowness.get(workerId) ?? 1;
  }

  /** The worker refused a start as unhealthy. */
  refused(workerId: string, now: number): void {
    this.#refusedUntilMs.set(workerId, now + UNHEALTHY_BAN_MS);
  }

  /** Forgets everything, for a new tenure. */
  clear(): void {
    this.#refusedUntilMs.clear();
    this.#slowness.clear();
    this.#detector = createDetector();
  }
}

/** Evidence against workers. */
export const WORKER_HEALTH = createStateKey<WorkerHealth>("worker-health");

function createDetector(): FaultDetector {
  return new LikelihoodDetector({
    firstGapMs: FIRST_PROBE_MS,
    maxGapMs: MAX_PROBE_GAP_MS,
    probeTimeoutMs: PROBE_TIMEOUT_MS,
    probesToReturn: 1,
  });
}
