import { InstanceVerdict } from "./fault_detector.ts";

/** When quarantined instances are probed. */
export interface ProbeScheduleOptions {
  /** Time from quarantine to the first probe, in ms; 30 s by default. */
  readonly firstGapMs?: number;
  /** Longest interval between probes, in milliseconds; 1 h by default. */
  readonly maxGapMs?: number;
  /** Time until a probe without outcome is repeated, in ms; 10 min by default. */
  readonly probeTimeoutMs?: number;
  /** Successive probes that must succeed to end quarantine; 3 by default. */
  readonly probesToReturn?: number;
}

interface QuarantineRecord {
  gapMs: number;
  nextProbeAt: number;
  succeeded: number;
  probeSent: boolean;
}

const DEFAULT_FIRST_GAP_MS = 30_000;
const DEFAULT_MAX_GAP_MS = 3_600_000;
const DEFAULT_PROBE_TIMEOUT_MS = 600_000;
const DEFAULT_PROBES_TO_RETURN = 3;
/** Factor by which the interval grows after a failed probe. */
const INTERVAL_GROWTH = 2;

/** The instances in quarantine, with the time of each one's next probe. */
export class ProbeSchedule {
  readonly #records = new Map<string, QuarantineRecord>();
  readonly #firstGapMs: number;
  readonly #maxGapMs: number;
  readonly #probeTimeoutMs: number;
  readonly #probesToReturn: number;

  constructor(options: ProbeScheduleOptions = {}) {
    this.#firstGapMs = options.firstGapMs ?? DEFAULT_FIRST_GAP_MS;
    this.#maxGapMs = options.maxGapMs ?? DEFAULT_MAX_GAP_MS;
    this.#probeTimeoutMs = options.probeTimeoutMs ?? DEFAULT_PROBE_TIMEOUT_MS;
    this.#probesToReturn = options.probesToReturn ?? DEFAULT_PROBES_TO_RETURN;
  }

  /** Whether the instance is quarantined or being probed. */
  has(instanceId: string): boolean {
    return this.#records.has(instanceId);
  }

  /** Quarantines an instance; `now` in milliseconds. */
  enter(instanceId: string, now: number): void {
    this.#records.set(instanceId, {
      gapMs: this.#firstGapMs,
      nextProbeAt: now + this.#firstGapMs,
      succeeded: 0,
      probeSent: false,
    });
  }

  /** Whether an instance may receive work; `now` in milliseconds. */
  verdict(instanceId: string, now: number): InstanceVerdict {
    const record = this.#records.get(instanceId);
    if (!record) {
      return InstanceVerdict.Healthy;
    }
    return now >= record.nextProbeAt
      ? InstanceVerdict.Probing
      : InstanceVerdict.Quarantined;
  }

  /** Records that a probe was sent; without an outcome it is repeated later. */
  probeStarted(instanceId: string, now: number): void {
    const record = this.#records.get(instanceId);
    if (record) {
      record.nextProbeAt = now + this.#probeTimeoutMs;
      record.probeSent = true;
    }
  }

  /**
   * Records that a task succeeded in quarantine. Returns whether this ends the
   * quarantine.
   */
  succeeded(instanceId: string, now: number): boolean {
    const record = this.#records.get(instanceId);
    if (!record) {
      return false;
    }
    record.succeeded += 1;
    record.probeSent = false;
    record.nextProbeAt = now;
    if (record.succeeded < this.#probesToReturn) {
      return false;
    }
    this.#records.delete(instanceId);
    return true;
  }

  /**
   * Records that a task failed in quarantine. A failed probe lengthens the
   * interval to the next one; tasks from before the quarantine are ignored.
   */
  failed(instanceId: string, now: number): void {
    const record = this.#records.get(instanceId);
    if (!record || !(record.probeSent || now >= record.nextProbeAt)) {
      return;
    }
    record.succeeded = 0;
    record.probeSent = false;
    record.gapMs = Math.min(this.#maxGapMs, record.gapMs * INTERVAL_GROWTH);
    record.nextProbeAt = now + record.gapMs;
  }

  /** Drops the record of an instance. */
  remove(instanceId: string): void {
    this.#records.delete(instanceId);
  }
}
