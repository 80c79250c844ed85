import type { Random } from "@mustardweir/kernel";
import { BestFitPolicy } from "./baselines.ts";
import type { InstanceTable } from "./instance_table.ts";
import { NO_INSTANCE, PlacementPolicy, type PlacementQuery } from "./policy.ts";
import { packingScore } from "./score.ts";

/** Limits on the number of instances that are examined for a choice. */
export interface IndexedFitOptions {
  /** Instances with room that are scored before one is chosen; 4 by default. */
  readonly candidates?: number;
  /** The same for work that should be spread; 64 by default. */
  readonly spreadCandidates?: number;
  /** Instances examined before the search ends; 512 by default. */
  readonly maxProbes?: number;
  /** Tables of up to this many instances are scanned whole; 64 by default. */
  readonly maxFullScan?: number;
}

const DEFAULT_CANDIDATES = 4;
const DEFAULT_SPREAD_CANDIDATES = 64;
const DEFAULT_MAX_PROBES = 512;
const DEFAULT_MAX_FULL_SCAN = 64;

/**
 * Scores a bounded number of the instances whose free room is closest to the
 * task's size, so the cost of a choice doesn't grow with the fleet.
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
  readonly #maxFullScan: number;
  readonly #fullScan = new BestFitPolicy();

  constructor(options: IndexedFitOptions = {}) {
    super();
    this.#candidates = options.candidates ?? DEFAULT_CANDIDATES;
    this.#spreadCandidates = options.spreadCandidates ??
      DEFAULT_SPREAD_CANDIDATES;
    this.#maxProbes = options.maxProbes ?? DEFAULT_MAX_PROBES;
    this.#maxFullScan = options.maxFullScan ?? DEFAULT_MAX_FULL_SCAN;
  }

  override choose(
    table: InstanceTable,
    request: PlacementQuery,
    random: Random,
  ): number {
    if (table.size <= this.#maxFullScan) {
      return this.#fullScan.choose(table, request);
    }
    const search = this.#startSearch(table, request);
    table.roomIndex.visit(request.size, (members) => {
      const start = members.length > 1 ? random.below(members.length) : 0;
      return search.examine(members, start);
    });
    return search.best;
  }

  #startSearch(table: InstanceTable, request: PlacementQuery): Search {
    const candidates = request.crowding
      ? this.#spreadCandidates
      : this.#candidates;
    return new Search(table, request, {
      candidates,
      probes: this.#maxProbes,
    });
  }
}

/** A search, with the best of the instances examined so far. */
class Search {
  readonly #table: InstanceTable;
  readonly #request: PlacementQuery;
  #candidatesLeft: number;
  #probesLeft: number;
  #bestCrowding = Infinity;
  #bestScore = Infinity;
  best = NO_INSTANCE;

  constructor(
    table: InstanceTable,
    request: PlacementQuery,
    limits: { candidates: number; probes: number },
  ) {
    this.#table = table;
    this.#request = request;
    this.#candidatesLeft = limits.candidates;
    this.#probesLeft = limits.probes;
  }

  /**
   * Examines a bucket from position `start` on, wrapping around. Returns whether
   * the search is over.
   */
  examine(members: readonly number[], start: number): boolean {
    const { length } = members;
    for (let step = 0; step < length && !this.#isOver(); step++) {
      this.#probe(members[(start + step) % length]!);
    }
    return this.#isOver();
  }

  #isOver(): boolean {
    return this.#candidatesLeft === 0 || this.#probesLeft === 0;
  }

  #probe(index: number): void {
    this.#probesLeft--;
    if (!this.#table.fits(index, this.#request.size)) {
      return;
    }
    this.#candidatesLeft--;
    const crowding = this.#request.crowding?.(index) ?? 0;
    if (crowding > this.#bestCrowding) {
      return;
    }
    const score = packingScore(this.#table, index, this.#request.size);
    if (crowding < this.#bestCrowding || score < this.#bestScore) {
      this.best = index;
      this.#bestCrowding = crowding;
      this.#bestScore = score;
    }
  }
}
