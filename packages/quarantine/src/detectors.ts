import {
  type Evidence,
  EvidenceDetector,
  type EvidenceDetectorOptions,
} from "./evidence_detector.ts";
import { TaskOutcome } from "./fault_detector.ts";

/** Failures of a team that fails more often than this are no evidence. */
const MAX_TEAM_FAILURE_RATE = 0.5;
const DEFAULT_CONSECUTIVE_FAILURES = 5;
const DEFAULT_AVERAGE_THRESHOLD = 0.8;
const DEFAULT_SMOOTHING = 0.3;

/** How often a faulty instance fails its tasks. */
const FAULTY_FAILURE_RATE = 0.95;
const MIN_FAILURE_RATE = 0.01;
const MAX_FAILURE_RATE = FAULTY_FAILURE_RATE;

/** Counts failures since the last success. */
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

/** How fast the average follows the newest tasks. */
export interface MovingAverageOptions extends EvidenceDetectorOptions {
  /** Weight of the newest task, from 0 to 1; 0.3 by default. */
  readonly smoothing?: number;
}

/** An exponential moving average of failures. */
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
 * Cumulative sum of log-likelihood ratios, faulty against good, never below
 * zero. A team that fails everywhere adds next to nothing.
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

/** How much likelier the outcome is on a faulty instance. */
function likelihoodRatio(evidence: Evidence): number {
  const good = clamp(evidence.failureRateElsewhere);
  return evidence.outcome === TaskOutcome.Failed
    ? FAULTY_FAILURE_RATE / good
    : (1 - FAULTY_FAILURE_RATE) / (1 - good);
}

function clamp(rate: number): number {
  return Math.min(MAX_FAILURE_RATE, Math.max(MIN_FAILURE_RATE, rate));
}

function isInformative(evidence: Evidence): boolean {
  return evidence.failureRateElsewhere <= MAX_TEAM_FAILURE_RATE;
}
