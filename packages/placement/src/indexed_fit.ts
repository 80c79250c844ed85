import type { Random } from "@mustardweir/kernel";
import type { InstanceTable } from "./instance_table.ts";
import {
  NO_INSTANCE,
  PlacementPolicy,
  type PlacementRequest,
} from "./policy.ts";
import { packingScore } from "./score.ts";

export interface IndexedFitOptions {
  /** Instances with room that are rated before one is chosen; 16 by default. */
  readonly candidates?: number;
  /** The same for work that should be spread; 64 by default. */
  readonly spreadCandidates?: number;
  /** Instances looked at before giving up; 512 by default. */
  readonly maxProbes?: number;
}

const DEFAULT_CANDIDATES = 16;
const DEFAULT_SPREAD_CANDIDATES = 64;
const DEFAULT_MAX_PROBES = 512;

/**
 * Rates a bounded number of the instances with the least room that is
 * enough, so the cost of a choice doesn't grow with the fleet.
 *
 * @example
 * ```ts
 * const policy = new IndexedFitPolicy({ candidates: 32 });
 * const index = policy.choose(table, { size: task.size }, update.random);
 * ```
 */
export class IndexedFitPolicy extends PlacementPolicy {
  override readonly name = "indexed-fit";
  readonly #candidates: number;
  readonly #spreadCandidates: number;
  readonly #maxProbes: number;

  constructor(options: IndexedFitOptions = {}) {
    super();
    this.#candidates = options.candidates ?? DEFAULT_CANDIDATES;
    this.#spreadCandidates = options.spreadCandidates ??
      DEFAULT_SPREAD_CANDIDATES;
    this.#maxProbes = options.maxProbes ?? DEFAULT_MAX_PROBES;
  }

  override choose(
    table: InstanceTable,
    request: PlacementRequest,
    random: Random,
  ): number {
    const { size, crowding } = request;
    let candidates = crowding ? this.#spreadCandidates : this.#candidates;
    let probes = this.#maxProbes;
    let best = NO_INSTANCE;
    let bestCrowding = Infinity;
    let bestScore = Infinity;
    table.roomIndex.visit(size, (members) => {
      const { length } = members;
      const start = length > 1 ? random.below(length) : 0;
      for (let step = 0; step < length && candidates > 0; step++) {
        if (probes-- <= 0) {
          return true;
        }
        const index = members[(start + step) % length]!;
        if (!table.fits(index, size)) {
          continue;
        }
        candidates--;
        const crowded = crowding?.(index) ?? 0;
        if (crowded > bestCrowding) {
          continue;
        }
        const score = packingScore(table, index, size);
        if (crowded < bestCrowding || score < bestScore) {
          best = index;
          bestCrowding = crowded;
          bestScore = score;
        }
      }
      return candidates <= 0;
    });
    return best;
  }
}
