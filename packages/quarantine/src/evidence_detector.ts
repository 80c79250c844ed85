import {
  FaultDetector,
  InstanceVerdict,
  TaskOutcome,
} from "./fault_detector.ts";
import { QuarantineLog, type QuarantineLogOptions } from "./quarantine_log.ts";
import { TeamVotes } from "./team_votes.ts";

/** How much evidence quarantines an instance. */
export interface EvidenceDetectorOptions extends QuarantineLogOptions {
  /** The statistic at which an instance is quarantined. */
  readonly threshold?: number;
}

/** One task's end with what is to be expected of its team. */
export interface Evidence {
  readonly outcome: TaskOutcome;
  /** How often the team's tasks fail on other instances, from 0 to 1. */
  readonly failureRateElsewhere: number;
}

/** Keeps one number for each instance and quarantines at a threshold. */
export abstract class EvidenceDetector extends FaultDetector {
  readonly #threshold: number;
  readonly #log: QuarantineLog;
  readonly #statistics = new Map<string, number>();
  readonly #teams = new Map<string, TeamVotes>();

  constructor(threshold: number, options: QuarantineLogOptions = {}) {
    super();
    this.#threshold = threshold;
    this.#log = new QuarantineLog(options);
  }

  /** The statistic after one more task; it starts from 0. */
  protected abstract next(statistic: number, evidence: Evidence): number;

  override observe(
    instanceId: string,
    outcome: TaskOutcome,
    team: string,
    now: number,
  ): void {
    const votes = this.#votesOf(team);
    const failureRateElsewhere = votes.failureRateElsewhere(instanceId);
    votes.record(instanceId, outcome);
    if (this.#log.has(instanceId)) {
      this.#observeProbe(instanceId, outcome, now);
      return;
    }
    const before = this.#statistics.get(instanceId) ?? 0;
    const statistic = this.next(before, { outcome, failureRateElsewhere });
    this.#statistics.set(instanceId, statistic);
    if (statistic >= this.#threshold) {
      this.#log.enter(instanceId, now);
    }
  }

  override suspicion(instanceId: string): number {
    const statistic = this.#statistics.get(instanceId) ?? 0;
    return Math.min(1, Math.max(0, statistic / this.#threshold));
  }

  override verdict(instanceId: string, now: number): InstanceVerdict {
    return this.#log.verdict(instanceId, now);
  }

  override probeStarted(instanceId: string, now: number): void {
    this.#log.probeStarted(instanceId, now);
  }

  override forget(instanceId: string): void {
    this.#log.forget(instanceId);
    this.#statistics.delete(instanceId);
    for (const votes of this.#teams.values()) {
      votes.forget(instanceId);
    }
  }

  #observeProbe(instanceId: string, outcome: TaskOutcome, now: number): void {
    if (outcome === TaskOutcome.Failed) {
      this.#log.failed(instanceId, now);
    } else if (this.#log.succeeded(instanceId, now)) {
      this.#statistics.delete(instanceId);
    }
  }

  #votesOf(team: string): TeamVotes {
    const votes = this.#teams.get(team) ?? new TeamVotes();
    this.#teams.set(team, votes);
    return votes;
  }
}
