import { createHash } from "node:crypto";

/** A node that could own a unit. */
export interface Candidate {
  readonly nodeId: string;
  readonly availabilityZone: string;
}

/** Options of {@link rankCandidates}. */
export interface RankOptions {
  readonly unit: string;
  /** Candidates in this zone rank first; empty to ignore zones. */
  readonly availabilityZone?: string;
}

const scores = new Map<string, number>();

/** The cache is cleared at this size, since it keeps scores of old units. */
const MAX_CACHED_SCORES = 100_000;

/**
 * Orders candidates by highest random weight (rendezvous hashing): each node
 * computes the same order, and a node that leaves moves only the units for
 * which it ranked first.
 *
 * @example
 * ```ts
 * const [preferred] = rankCandidates(alive, { unit: homeUnit("storefront") });
 * ```
 */
export function rankCandidates(
  candidates: readonly Candidate[],
  options: RankOptions,
): Candidate[] {
  const { unit, availabilityZone = "" } = options;
  const isLocal = (candidate: Candidate) =>
    Number(
      availabilityZone !== "" &&
        candidate.availabilityZone === availabilityZone,
    );
  return [...candidates].sort((a, b) =>
    isLocal(b) - isLocal(a) ||
    score(unit, b.nodeId) - score(unit, a.nodeId)
  );
}

function score(unit: string, nodeId: string): number {
  const key = `${unit} ${nodeId}`;
  const cached = scores.get(key);
  if (cached !== undefined) {
    return cached;
  }
  if (scores.size >= MAX_CACHED_SCORES) {
    scores.clear();
  }
  const value = createHash("sha256").update(key).digest().readUIntBE(0, 6);
  scores.set(key, value);
  return value;
}
