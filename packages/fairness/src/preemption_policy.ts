import { createServiceKey } from "@mustardweir/kernel";
import { dominantShare } from "@mustardweir/model";
import {
  isWithinEntitlement,
  pickVictims,
  type PickVictimsOptions,
  type Preemption,
} from "./preemption.ts";

/** An ask without room, as it is decided whether room is made for it. */
export type PreemptionRequest = Omit<PickVictimsOptions, "places">;

/** Decides for whom running work is stopped, and which. */
export abstract class PreemptionPolicy {
  abstract readonly name: string;

  /** True when room may be made for the ask at all; cheap. */
  abstract mayPreempt(request: PreemptionRequest): boolean;

  /** What to stop, on one of the places; undefined when nothing helps. */
  abstract pick(options: PickVictimsOptions): Preemption | undefined;
}

/** The policy by which slices make room. */
export const PREEMPTION_POLICY = createServiceKey<PreemptionPolicy>(
  "preemption-policy",
);

/** When a team is far enough below its entitlement. */
export interface EntitledPreemptionOptions {
  /**
   * Part of its entitlement that a team lacks before work of others is stopped
   * for it; 0.01 by default. Without it slices that know of each other's
   * grants late would stop work back and forth.
   */
  readonly slack?: number;
}

const DEFAULT_SLACK = 0.01;

/**
 * Makes room for urgent work and for teams below their entitlement.
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
