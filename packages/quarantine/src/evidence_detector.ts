import {
  FaultDetector,
  InstanceVerdict,
  TaskOutcome,
} from "./fault_detector.ts";
import { ProbeSchedule, type ProbeScheduleOptions } from "./probe_schedule.ts";
import { TeamOutcomes } from "./team_outcomes.ts";

/** The threshold of evidence, and when quarantined instances are probed. */
export interface EvidenceDetectorOptions extends ProbeScheduleOptions {
  /** The statistic at which an instance is quarantined. */
  readonly threshold?: number;
}

/** The outcome of a task, with the failure rate to be expected of its team. */
export interface Evidence {
  readonly outcome: TaskOutcome;
  /** Failure rate of the team's tasks on other instances, from 0 to 1. */
  readonly failureRateElsewhere: number;
}

/** Keeps a statistic per instance; quarantines the instance at a threshold. */
export abstract class EvidenceDetector extends FaultDetector {
  readonly #threshold: number;
  readonly #probes: ProbeSchedule;
  readonly #statistics = new Map<string, number>();
  readonly #outcomes = new Map<string, TeamOutcomes>();

  constructor(threshold: number, options: ProbeScheduleOptions = {}) {
    super();
    this.#threshold = threshold;
    this.#probes = new ProbeSchedule(options);
  }

  /** Returns the statistic after one more task; the initial value is 0. */
  protected abstract next(statistic: number, evidence: Evidence): number;

  override observe(
    instanceId: string,
    outcome: TaskOutcome,
    team: string,
    now: number,
  ): void {
    const outcomes = this.#outcomesOf(team);
    const failureRateElsewhere = outcomes.failureRateElsewhere(instanceId);
    outcomes.record(instanceId, outcome);
    if (this.#probes.has(instanceId)) {
      this.#observeProbe(instanceId, outcome, now);
      return;
    }
    const before = this.#statistics.get(instanceId) ?? 0;
    const statistic = this.next(before, { outcome, failureRateElsewhere });
    this.#statistics.set(instanceId, statistic);
    if (statistic >= this.#threshold) {
      this.#probes.enter(instanceId, now);
    }
  }

  override suspicion(instanceId: string): number {
    const statistic = this.#statistics.get(instanceId) ?? 0;
    return Math.min(1, Math.max(0, statistic / this.#threshold));
  }

  override verdict(instanceId: string, now: number): InstanceVerdict {
    return this.#probes.verdict(instanceId, now);
  }

  override probeStarted(instanceId: string, now: number): void {
    this.#probes.probeStarted(instanceId, now);
  }

  override removeInstance(instanceId: string): void {
    this.#probes.remove(instanceId);
    this.#statistics.delete(instanceId);
    for (const outcomes of this.#outcomes.values()) {
      outcomes.remove(instanceId);
    }
  }

  #observeProbe(instanceId: string, outcome: TaskOutcome, now: number): void {
    if (outcome === TaskOutcome.Failed) {
      this.#probes.failed(instanceId, now);
    } else if (this.#probes.succeeded(instanceId, now)) {
      this.#statistics.delete(instanceId);
    }
  }

  #outcomesOf(team: string): TeamOutcomes {
    const outcomes = this.#outcomes.get(team) ?? new TeamOutcomes();
    this.#outcomes.set(team, outcomes);
    return outcomes;
  }
}
