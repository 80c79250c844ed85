import {
  type Evidence,
  EvidenceDetector,
  type EvidenceDetectorOptions,
} from "./evidence_detector.ts";
import { TaskOutcome } from "./fault_detector.ts";

/** Failures are no evidence if the team's failure rate elsewhere exceeds this. */
const MAX_TEAM_FAILURE_RATE = 0.5;
const DEFAULT_CONSECUTIVE_FAILURES = 5;
const DEFAULT_AVERAGE_THRESHOLD = 0.8;
const DEFAULT_SMOOTHING = 0.3;

/** Failure rate assumed of tasks on a faulty instance. */
const FAULTY_FAILURE_RATE = 0.95;
const MIN_FAILURE_RATE = 0.01;
const MAX_FAILURE_RATE = FAULTY_FAILURE_RATE;

/** Counts the failures since the last success. */
export class ConsecutiveFailuresDetector extends EvidenceDetector {
  override readonly name = "consecutive-failures";

  constructor(options: EvidenceDetectorOptions = {}) {
    super(options.threshold ?? DEFAULT_CONSECUTIVE_FAILURES, options);
  }

  protected override next(statistic: number, evidence: Evidence): number {
    if (evidence.outcome === TaskOutcome.Ok) {
      return 0;
    }
    return isInformative(evidence) ? statistic + 1 : statistic;
  }
}

/** The threshold and the smoothing of a moving average. */
export interface MovingAverageOptions extends EvidenceDetectorOptions {
  /** Weight of the newest task, from 0 to 1; 0.3 by default. */
  readonly smoothing?: number;
}

/** Uses an exponential moving average of failures. */
export class MovingAverageDetector extends EvidenceDetector {
  override readonly name = "moving-average";
  readonly #smoothing: number;

  constructor(options: MovingAverageOptions = {}) {
    super(options.threshold ?? DEFAULT_AVERAGE_THRESHOLD, options);
    this.#smoothing = options.smoothing ?? DEFAULT_SMOOTHING;
  }

  protected override next(statistic: number, evidence: Evidence): number {
    if (evidence.outcome === TaskOutcome.Ok) {
      return statistic * (1 - this.#smoothing);
    }
    return isInformative(evidence)
      ? statistic + this.#smoothing * (1 - statistic)
      : statistic;
  }
}

/** The default threshold of `LikelihoodDetector`, in nats. */
export const LIKELIHOOD_THRESHOLD = 12;

/**
 * Uses the cumulative sum (CUSUM) of log-likelihood ratios of a faulty against a
 * healthy instance, never below zero. Failures of a team that fails on every
 * instance add almost nothing.
 */
export class LikelihoodDetector extends EvidenceDetector {
  override readonly name = "likelihood";

  constructor(options: EvidenceDetectorOptions = {}) {
    super(options.threshold ?? LIKELIHOOD_THRESHOLD, options);
  }

  protected override next(statistic: number, evidence: Evidence): number {
    return Math.max(0, statistic + Math.log(likelihoodRatio(evidence)));
  }
}

/** The likelihood of the outcome on a faulty instance over a healthy one. */
function likelihoodRatio(evidence: Evidence): number {
  const good = clamp(evidence.failureRateElsewhere);
  return evidence.outcome === TaskOutcome.Failed
    ? FAULTY_FAILURE_RATE / good
    : (1 - FAULTY_FAILURE_RATE) / (1 - good);
}

function clamp(rate: number): number {
  return Math.min(MAX_FAILURE_RATE, Math.max(MIN_FAILURE_RATE, rate));
}

/** Whether a failure is evidence against the instance and not the team. */
function isInformative(evidence: Evidence): boolean {
  return evidence.failureRateElsewhere <= MAX_TEAM_FAILURE_RATE;
}
