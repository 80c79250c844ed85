import {
  addResources,
  dominantShare,
  NO_RESOURCES,
  type Resources,
  scaleResources,
} from "@mustardweir/model";

/** What a team would use if it had the fleet to itself. */
export interface TeamClaim {
  readonly team: string;
  readonly weight: number;
  /** What it uses and waits for, at most its ceiling. */
  readonly wanted: Resources;
}

/** The part of the fleet that a team is due. */
export interface Entitlement {
  readonly team: string;
  /** Its dominant share, from 0 to 1. */
  readonly share: number;
  readonly resources: Resources;
}

interface Filling {
  readonly claim: TeamClaim;
  /** Dominant share of everything it wants. */
  readonly wantedShare: number;
  share: number;
  open: boolean;
}

const EPSILON = 1e-9;

/**
 * Weighted dominant-resource fairness by progressive filling: raises all
 * teams' dominant shares together, in proportion to their weights, until each
 * has what it wants or a resource that it needs is used up.
 *
 * @example
 * ```ts
 * entitlements([
 *   { team: "search", weight: 2, wanted: all },
 *   { team: "reports", weight: 1, wanted: all },
 * ], total); // shares 2/3 and 1/3
 * ```
 */
export function entitlements(
  teams: readonly TeamClaim[],
  total: Resources,
): Entitlement[] {
  const fillings = teams.map((claim) => startFilling(claim, total));
  while (fillings.some((filling) => filling.open)) {
    raise(fillings, total);
  }
  return fillings.map((filling) => ({
    team: filling.claim.team,
    share: filling.share,
    resources: amountAt(filling, filling.share),
  }));
}

function startFilling(claim: TeamClaim, total: Resources): Filling {
  const wantedShare = dominantShare(claim.wanted, total);
  const open = wantedShare > 0 && claim.weight > 0;
  return { claim, wantedShare, share: 0, open };
}

/** One step: up to where a team is satisfied or a resource is used up. */
function raise(fillings: Filling[], total: Resources): void {
  const open = fillings.filter((filling) => filling.open);
  const used = sum(fillings.map((f) => amountAt(f, f.share)));
  const rate = sum(open.map((f) => amountAt(f, f.claim.weight)));
  const untilFull = timesUntilFull(used, rate, total);
  const untilSatisfied = open.map((f) =>
    (f.wantedShare - f.share) / f.claim.weight
  );
  const step = Math.min(...Object.values(untilFull), ...untilSatisfied);
  for (const filling of open) {
    filling.share += step * filling.claim.weight;
    const satisfied = filling.share >= filling.wantedShare - EPSILON;
    filling.open = !satisfied && !needsFull(filling, untilFull, step);
  }
}

function needsFull(filling: Filling, untilFull: Resources, step: number) {
  const { wanted } = filling.claim;
  const limit = step + EPSILON;
  return (wanted.cpuMillis > 0 && untilFull.cpuMillis <= limit) ||
    (wanted.memoryMb > 0 && untilFull.memoryMb <= limit) ||
    (wanted.accelerators > 0 && untilFull.accelerators <= limit) ||
    (wanted.slots > 0 && untilFull.slots <= limit);
}

function timesUntilFull(
  used: Resources,
  rate: Resources,
  total: Resources,
): Resources {
  return {
    cpuMillis: timeUntil(total.cpuMillis - used.cpuMillis, rate.cpuMillis),
    memoryMb: timeUntil(total.memoryMb - used.memoryMb, rate.memoryMb),
    accelerators: timeUntil(
      total.accelerators - used.accelerators,
      rate.accelerators,
    ),
    slots: timeUntil(total.slots - used.slots, rate.slots),
  };
}

function timeUntil(left: number, rate: number): number {
  return rate > 0 ? Math.max(0, left) / rate : Infinity;
}

/** What a team uses when its dominant share is `share`. */
function amountAt(filling: Filling, share: number): Resources {
  const { claim, wantedShare } = filling;
  return wantedShare > 0
    ? scaleResources(claim.wanted, share / wantedShare)
    : NO_RESOURCES;
}

function sum(amounts: readonly Resources[]): Resources {
  return amounts.reduce(addResources, NO_RESOURCES);
}
