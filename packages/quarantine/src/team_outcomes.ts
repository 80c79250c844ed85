import { TaskOutcome } from "./fault_detector.ts";

/** Maximum number of instances whose latest outcome is kept for a team. */
const MAX_INSTANCES = 32;
/** Failures and tasks assumed in addition to the recorded outcomes. */
const PRIOR_FAILURES = 0.5;
const PRIOR_TASKS = 2;

/**
 * Estimates the failure rate of a team's tasks from the latest outcome on each
 * instance. Each instance counts once, so one that fails many tasks quickly
 * does not dominate the rate.
 */
export class TeamOutcomes {
  readonly #outcomes = new Map<string, TaskOutcome>();
  #failures = 0;

  /** Records the latest outcome on an instance. */
  record(instanceId: string, outcome: TaskOutcome): void {
    this.remove(instanceId);
    this.#outcomes.set(instanceId, outcome);
    this.#failures += outcome === TaskOutcome.Failed ? 1 : 0;
    if (this.#outcomes.size > MAX_INSTANCES) {
      const [oldest] = this.#outcomes.keys();
      this.remove(oldest!);
    }
  }

  /** Drops the outcome on an instance. */
  remove(instanceId: string): void {
    const failed = this.#outcomes.get(instanceId) === TaskOutcome.Failed;
    this.#failures -= failed ? 1 : 0;
    this.#outcomes.delete(instanceId);
  }

  /** The estimated failure rate on all other instances, from 0 to 1. */
  failureRateElsewhere(instanceId: string): number {
    const own = this.#outcomes.get(instanceId);
    const failures = this.#failures - (own === TaskOutcome.Failed ? 1 : 0);
    const others = this.#outcomes.size - (own === undefined ? 0 : 1);
    return (failures + PRIOR_FAILURES) / (others + PRIOR_TASKS);
  }
}
