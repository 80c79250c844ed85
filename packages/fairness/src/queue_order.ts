import { createServiceKey } from "@mustardweir/kernel";
import { dominantShare, type Resources } from "@mustardweir/model";

/** A team with work that waits, as its turn is decided. */
export interface TeamDemand {
  readonly team: string;
  readonly weight: number;
  /** Fleet-wide, as far as known, with what was granted since. */
  readonly used: Resources;
  /** True when its next ask is urgent. */
  readonly urgent: boolean;
  /** Waiting time of its oldest ask, in milliseconds. */
  readonly oldestWaitMs: number;
  /** What its next ask takes. */
  readonly size: Resources;
}

/** No team waits. */
export const NO_TEAM = -1;

/** Chooses the team whose work is placed next. */
export abstract class QueueOrder {
  abstract readonly name: string;

  /** The index of the demand that is served next, or -1 when none waits. */
  abstract pick(demands: readonly TeamDemand[], total: Resources): number;
}

/** The order that slices serve teams in. */
export const QUEUE_ORDER = createServiceKey<QueueOrder>("queue-order");

/** Serves whoever has waited longest; knows no shares. */
export class FifoOrder extends QueueOrder {
  override readonly name = "fifo";

  override pick(demands: readonly TeamDemand[]): number {
    return smallest(demands, (demand) => -demand.oldestWaitMs);
  }
}

/**
 * Weighted dominant-resource fairness: urgent work first, then the team whose
 * largest fraction of any resource, with its next ask and divided by its
 * weight, is smallest. Equal teams are served by waiting time.
 */
export class DominantShareOrder extends QueueOrder {
  override readonly name = "dominant-share";

  override pick(demands: readonly TeamDemand[], total: Resources): number {
    const anyUrgent = demands.some((demand) => demand.urgent);
    return smallest(demands, (demand) => {
      const waits = !anyUrgent || demand.urgent;
      return waits ? weightedShare(demand, total) : Infinity;
    });
  }
}

/** The dominant share of what a team uses, relative to its weight. */
export function weightedShare(demand: TeamDemand, total: Resources): number {
  return demand.weight > 0
    ? dominantShare(demand.used, total) / demand.weight
    : Infinity;
}

function smallest(
  demands: readonly TeamDemand[],
  rate: (demand: TeamDemand) => number,
): number {
  let best = NO_TEAM;
  let bestRate = Infinity;
  let bestWaitMs = -Infinity;
  demands.forEach((demand, index) => {
    const rated = rate(demand);
    const wins = best === NO_TEAM || rated < bestRate ||
      (rated === bestRate && demand.oldestWaitMs > bestWaitMs);
    if (wins) {
      best = index;
      bestRate = rated;
      bestWaitMs = demand.oldestWaitMs;
    }
  });
  return best;
}
