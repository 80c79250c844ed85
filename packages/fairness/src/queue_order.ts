import { createServiceKey } from "@mustardweir/kernel";
import {
  addResources,
  dominantShare,
  type Resources,
  scaleResources,
} from "@mustardweir/model";

/** A team with waiting asks (requests for room), as input to the order. */
export interface TeamDemand {
  readonly team: string;
  readonly weight: number;
  /** Latest known fleet-wide usage, including what this round has granted. */
  readonly used: Resources;
  /** Whether its next ask is urgent. */
  readonly urgent: boolean;
  /** Waiting time of its oldest ask, in milliseconds. */
  readonly oldestWaitMs: number;
  /** Size of its next ask. */
  readonly size: Resources;
  /**
   * Time since the team was last granted room, in milliseconds. Given only if
   * the team is blocked: none of its asks finds room now, though an instance
   * has the capacity for one.
   */
  readonly blockedMs?: number;
}

/** The index that an order returns when no team may be served. */
export const NO_TEAM = -1;

/** Chooses the team whose ask is placed next. */
export abstract class QueueOrder {
  abstract readonly name: string;

  /** Returns the index of the demand to serve next, or `NO_TEAM`. */
  abstract pick(demands: readonly TeamDemand[], total: Resources): number;
}

/** The order in which slices serve teams. */
export const QUEUE_ORDER = createServiceKey<QueueOrder>("queue-order");

/** Serves the team that has waited longest, whatever the teams' weights. */
export class FifoOrder extends QueueOrder {
  override readonly name = "fifo";

  override pick(demands: readonly TeamDemand[]): number {
    return indexOfSmallest(demands, (demand) => {
      return isBlocked(demand) ? Infinity : -demand.oldestWaitMs;
    });
  }
}

/** Limits how long room is kept for a blocked team. */
export interface DominantShareOptions {
  /**
   * Time for which a blocked team holds back teams with larger weighted shares,
   * in milliseconds; 30 min by default.
   */
  readonly maxHoldMs?: number;
}

const DEFAULT_MAX_HOLD_MS = 1_800_000;
/** Counting half of the next ask favors neither large nor small tasks. */
const NEXT_ASK_WEIGHT = 0.5;

/**
 * Weighted dominant-resource fairness: urgent asks first, then the team
 * with the smallest weighted share, which is its largest fraction of any
 * resource, with half of its next ask counted, divided by its weight.
 *
 * A blocked team holds back teams with larger weighted shares for a limited
 * time. Otherwise all freed room would go to teams whose tasks happen to fit,
 * and usage would follow the sizes of tasks instead of the shares.
 *
 * @example
 * ```ts
 * const order = new DominantShareOrder({ maxHoldMs: 10_000 });
 * const next = demands[order.pick(demands, table.totalCapacity())];
 * ```
 */
export class DominantShareOrder extends QueueOrder {
  override readonly name = "dominant-share";
  readonly #maxHoldMs: number;

  constructor(options: DominantShareOptions = {}) {
    super();
    this.#maxHoldMs = options.maxHoldMs ?? DEFAULT_MAX_HOLD_MS;
  }

  override pick(demands: readonly TeamDemand[], total: Resources): number {
    const urgent = indexOfSmallest(demands, (demand) => {
      const eligible = demand.urgent && !isBlocked(demand);
      return eligible ? weightedShare(demand, total) : Infinity;
    });
    if (urgent !== NO_TEAM) {
      return urgent;
    }
    const next = indexOfSmallest(demands, (demand) => {
      return isBlocked(demand) ? Infinity : weightedShare(demand, total);
    });
    const isHeld = next !== NO_TEAM &&
      this.#isHeldBack(demands[next]!, { demands, total });
    return isHeld ? NO_TEAM : next;
  }

  #isHeldBack(
    demand: TeamDemand,
    queue: { demands: readonly TeamDemand[]; total: Resources },
  ): boolean {
    const share = weightedShare(demand, queue.total);
    return queue.demands.some((other) =>
      isBlocked(other) && other.blockedMs <= this.#maxHoldMs &&
      competes(demand, other) && weightedShare(other, queue.total) < share
    );
  }
}

/**
 * The dominant share of a team, with half of its next ask counted, divided
 * by its weight; Infinity without weight.
 *
 * @example
 * ```ts
 * const isFirst = weightedShare(a, total) < weightedShare(b, total);
 * ```
 */
export function weightedShare(demand: TeamDemand, total: Resources): number {
  if (demand.weight <= 0) {
    return Infinity;
  }
  const halfAsk = scaleResources(demand.size, NEXT_ASK_WEIGHT);
  const used = addResources(demand.used, halfAsk);
  return dominantShare(used, total) / demand.weight;
}

function isBlocked(
  demand: TeamDemand,
): demand is TeamDemand & { readonly blockedMs: number } {
  return demand.blockedMs !== undefined;
}

/**
 * Whether room granted to `demand` could serve the blocked team: tasks without
 * accelerators take no room from a team that waits for accelerators.
 */
function competes(demand: TeamDemand, blocked: TeamDemand): boolean {
  return blocked.size.accelerators === 0 || demand.size.accelerators > 0;
}

/** The index with the smallest finite score; the longest wait breaks ties. */
function indexOfSmallest(
  demands: readonly TeamDemand[],
  score: (demand: TeamDemand) => number,
): number {
  let best = NO_TEAM;
  let bestScore = Infinity;
  let bestWaitMs = -Infinity;
  for (const [index, demand] of demands.entries()) {
    const scored = score(demand);
    const wins = scored < bestScore ||
      (scored === bestScore && scored < Infinity &&
        demand.oldestWaitMs > bestWaitMs);
    if (wins) {
      best = index;
      bestScore = scored;
      bestWaitMs = demand.oldestWaitMs;
    }
  }
  return best;
}
