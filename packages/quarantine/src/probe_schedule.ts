import { InstanceVerdict } from "./fault_detector.ts";

/** When quarantined instances are probed. */
export interface ProbeScheduleOptions {
  /** From quarantine to the first probe, in milliseconds; 30 s by default. */
  readonly firstGapMs?: number;
  /** Longest gap between probes, in milliseconds; 1 h by default. */
  readonly maxGapMs?: number;
  /** A probe without an end is repeated after this; 10 min by default. */
  readonly probeTimeoutMs?: number;
  /** Probes that must succeed one after another; 3 by default. */
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
const GAP_GROWTH = 2;

/** Instances in quarantine and when each is probed next. */
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

  /** True while the instance is quarantined or probed. */
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

  /** Whether work may be sent to an instance. */
  verdict(instanceId: string, now: number): InstanceVerdict {
    const record = this.#records.get(instanceId);
    if (!record) {
      return InstanceVerdict.Healthy;
    }
    return now >= record.nextProbeAt
      ? InstanceVerdict.Probing
      : InstanceVerdict.Quarantined;
  }

  /** Notes that a probe was sent; it is repeated if it doesn't end. */
  probeStarted(instanceId: string, now: number): void {
    const record = this.#records.get(instanceId);
    if (record) {
      record.nextProbeAt = now + this.#probeTimeoutMs;
      record.probeSent = true;
    }
  }

  /** A task succeeded in quarantine; true when the instance may return. */
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
   * A task failed in quarantine. Work from before the quarantine changes
   * nothing; a failed probe makes the gap to the next one longer.
   */
  failed(instanceId: string, now: number): void {
    const record = this.#records.get(instanceId);
    if (!record || !(record.probeSent || now >= record.nextProbeAt)) {
      return;
    }
    record.succeeded = 0;
    record.probeSent = false;
    record.gapMs = Math.min(this.#maxGapMs, record.gapMs * GAP_GROWTH);
    record.nextProbeAt = now + record.gapMs;
  }

  /** Drops what is known of an instance. */
  forget(instanceId: string): void {
    this.#records.delete(instanceId);
  }
}
