import { createServiceKey } from "@mustardweir/kernel";
import { dominantShare } from "@mustardweir/model";
import {
  isWithinEntitlement,
  pickVictims,
  type PickVictimsOptions,
  type Preemption,
} from "./preemption.ts";

/** An ask, a request for room, for which tasks may be preempted. */
export type PreemptionRequest = Omit<PickVictimsOptions, "places">;

/** Decides for which asks running tasks are stopped, and which tasks. */
export abstract class PreemptionPolicy {
  abstract readonly name: string;

  /** Whether tasks may be preempted for the ask at all; a cheap check. */
  abstract mayPreempt(request: PreemptionRequest): boolean;

  /** Returns the tasks to stop on one of the places; undefined if none suffice. */
  abstract pick(options: PickVictimsOptions): Preemption | undefined;
}

/** The policy by which slices preempt tasks. */
export const PREEMPTION_POLICY = createServiceKey<PreemptionPolicy>(
  "preemption-policy",
);

/** When a team is far enough below its entitlement to preempt. */
export interface EntitledPreemptionOptions {
  /**
   * Fraction of its entitlement that a team must lack before tasks of others
   * are stopped for it; 0.01 by default. Without slack, slices that learn of
   * each other's grants late would preempt tasks back and forth.
   */
  readonly slack?: number;
}

const DEFAULT_SLACK = 0.01;

/**
 * Preempts for urgent asks and for teams below their entitlement.
 *
 * @example
 * ```ts
 * const policy = new EntitledPreemption({ slack: 0.02 });
 * if (policy.mayPreempt(request)) policy.pick({ ...request, places });
 * ```
 */
export class EntitledPreemption extends PreemptionPolicy {
  override readonly name = "entitled";
  readonly #slack: number;

  constructor(options: EntitledPreemptionOptions = {}) {
    super();
    this.#slack = options.slack ?? DEFAULT_SLACK;
  }

  override mayPreempt(request: PreemptionRequest): boolean {
    return request.urgent === true ||
      (isWithinEntitlement(request) && this.#isBelowSlack(request));
  }

  #isBelowSlack({ team, allocations, total }: PreemptionRequest): boolean {
    const allocation = allocations.get(team);
    return allocation !== undefined &&
      dominantShare(allocation.used, total) <=
        allocation.entitledShare * (1 - this.#slack);
  }

  override pick(options: PickVictimsOptions): Preemption | undefined {
    return pickVictims(options);
  }
}
