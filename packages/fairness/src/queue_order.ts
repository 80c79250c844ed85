import { createServiceKey } from "@mustardweir/kernel";
import {
  addResources,
  dominantShare,
  type Resources,
  scaleResources,
} from "@mustardweir/model";

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
  /**
   * Given when none of its asks has room now, though an instance could hold
   * one: time since it was last granted room, in milliseconds.
   */
  readonly blockedMs?: number;
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
    return indexOfSmallest(demands, (demand) => {
      return isBlocked(demand) ? Infinity : -demand.oldestWaitMs;
    });
  }
}

/** How long room is held back for a blocked team. */
export interface DominantShareOptions {
  /**
   * How long a blocked team keeps room from teams that are further along, in
   * milliseconds; 30 min by default.
   */
  readonly maxHoldMs?: number;
}

const DEFAULT_MAX_HOLD_MS = 1_800_000;
/** Half of the next ask: neither large nor small tasks gain by rounding. */
const NEXT_ASK_WEIGHT = 0.5;

/**
 * Weighted dominant-resource fairness: urgent work first, then the team whose
 * largest fraction of any resource, with half of its next ask and divided by
 * its weight, is indexOfSmallest.
 *
 * A blocked team holds teams behind it back for a while. Otherwise every hole
 * goes to whoever has a task of its shape, and teams come to have what their
 * tasks' sizes give them instead of their shares.
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
 * The dominant share of a team with half its next ask, by its weight.
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

/** Work without accelerators takes nothing that blocks work with them. */
function competes(demand: TeamDemand, blocked: TeamDemand): boolean {
  return blocked.size.accelerators === 0 || demand.size.accelerators > 0;
}

/** The index with the indexOfSmallest finite score; of equals, the longest wait. */
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
