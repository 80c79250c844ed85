import type { Random } from "@mustardweir/kernel";
import type { InstanceTable } from "./instance_table.ts";
import { NO_INSTANCE, PlacementPolicy, type PlacementQuery } from "./policy.ts";
import { packingScore } from "./score.ts";

/** Chooses the first instance with room, in order of index. */
export class FirstFitPolicy extends PlacementPolicy {
  override readonly name = "first-fit";

  override choose(table: InstanceTable, request: PlacementQuery): number {
    for (let index = 0; index < table.indexLimit; index++) {
      if (table.fits(index, request.size)) {
        return index;
      }
    }
    return NO_INSTANCE;
  }
}

/** Chooses the first instance with room from a random index on. */
export class RandomFitPolicy extends PlacementPolicy {
  override readonly name = "random-fit";

  override choose(
    table: InstanceTable,
    request: PlacementQuery,
    random: Random,
  ): number {
    const limit = table.indexLimit;
    const start = limit > 0 ? random.below(limit) : 0;
    for (let step = 0; step < limit; step++) {
      const index = (start + step) % limit;
      if (table.fits(index, request.size)) {
        return index;
      }
    }
    return NO_INSTANCE;
  }
}

/**
 * Examines all instances with room; chooses the least crowded, and the best
 * score among these.
 */
export class BestFitPolicy extends PlacementPolicy {
  override readonly name = "best-fit";

  override choose(table: InstanceTable, request: PlacementQuery): number {
    let best = NO_INSTANCE;
    let bestCrowding = Infinity;
    let bestScore = Infinity;
    for (let index = 0; index < table.indexLimit; index++) {
      if (!table.fits(index, request.size)) {
        continue;
      }
      const crowding = request.crowding?.(index) ?? 0;
      if (crowding > bestCrowding) {
        continue;
      }
      const score = packingScore(table, index, request.size);
      if (crowding < bestCrowding || score < bestScore) {
        best = index;
        bestCrowding = crowding;
        bestScore = score;
      }
    }
    return best;
  }
}
