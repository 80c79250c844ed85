import { TaskOutcome } from "./fault_detector.ts";

/** Instances whose latest outcome is remembered for each team. */
const MAX_INSTANCES = 32;
/** Failures and tasks assumed of a team that nothing is known of. */
const PRIOR_FAILURES = 0.5;
const PRIOR_TASKS = 2;

/**
 * How often a team's tasks fail, by the latest outcome on each instance: an
 * instance that fails many tasks quickly has one vote like any other.
 */
export class TeamOutcomes {
  readonly #outcomes = new Map<string, TaskOutcome>();
  #failures = 0;

  /** Takes the latest outcome on an instance for its vote. */
  record(instanceId: string, outcome: TaskOutcome): void {
    this.forget(instanceId);
    this.#outcomes.set(instanceId, outcome);
    this.#failures += outcome === TaskOutcome.Failed ? 1 : 0;
    if (this.#outcomes.size > MAX_INSTANCES) {
      const [oldest] = this.#outcomes.keys();
      this.forget(oldest!);
    }
  }

  /** Drops an instance's vote. */
  forget(instanceId: string): void {
    const failed = this.#outcomes.get(instanceId) === TaskOutcome.Failed;
    this.#failures -= failed ? 1 : 0;
    this.#outcomes.delete(instanceId);
  }

  /** The fraction of tasks that fail on other instances. */
  failureRateElsewhere(instanceId: string): number {
    const own = this.#outcomes.get(instanceId);
    const failures = this.#failures - (own === TaskOutcome.Failed ? 1 : 0);
    const votes = this.#outcomes.size - (own === undefined ? 0 : 1);
    return (failures + PRIOR_FAILURES) / (votes + PRIOR_TASKS);
  }
}
