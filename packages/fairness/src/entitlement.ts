import {
  addResources,
  dominantShare,
  NO_RESOURCES,
  type Resources,
  scaleResources,
} from "@mustardweir/model";

/** The weight and demand of a team, from which its entitlement is computed. */
export interface EntitlementInput {
  readonly team: string;
  readonly weight: number;
  /** The resources of its running and waiting tasks, at most its ceiling. */
  readonly wanted: Resources;
}

/** The part of the fleet that a team is entitled to. */
export interface Entitlement {
  readonly team: string;
  /** Its dominant share, from 0 to 1. */
  readonly share: number;
  readonly resources: Resources;
}

/** The state of a team in progressive filling. */
interface FillState {
  readonly input: EntitlementInput;
  /** Dominant share of its whole demand. */
  readonly wantedShare: number;
  share: number;
  /** Whether its share still grows. */
  open: boolean;
}

const EPSILON = 1e-9;

/**
 * Weighted dominant-resource fairness by progressive filling: raises the
 * dominant shares of all teams together, in proportion to their weights, until
 * each team's demand is met or a resource that it needs is exhausted.
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
  teams: readonly EntitlementInput[],
  total: Resources,
): Entitlement[] {
  const states = teams.map((input) => initialState(input, total));
  while (states.some((state) => state.open)) {
    raiseShares(states, total);
  }
  return states.map((state) => ({
    team: state.input.team,
    share: state.share,
    resources: amountAt(state, state.share),
  }));
}

function initialState(input: EntitlementInput, total: Resources): FillState {
  const wantedShare = dominantShare(input.wanted, total);
  const open = wantedShare > 0 && input.weight > 0;
  return { input, wantedShare, share: 0, open };
}

/** Raises shares until the next team is satisfied or resource exhausted. */
function raiseShares(states: FillState[], total: Resources): void {
  const open = states.filter((state) => state.open);
  const used = sum(states.map((f) => amountAt(f, f.share)));
  const rate = sum(open.map((f) => amountAt(f, f.input.weight)));
  const untilExhausted = timesUntilExhausted(used, rate, total);
  const untilSatisfied = open.map((f) =>
    (f.wantedShare - f.share) / f.input.weight
  );
  const step = Math.min(...Object.values(untilExhausted), ...untilSatisfied);
  for (const state of open) {
    state.share += step * state.input.weight;
    const satisfied = state.share >= state.wantedShare - EPSILON;
    state.open = !satisfied && !needsExhausted(state, untilExhausted, step);
  }
}

/** Whether the team needs a resource that is exhausted after `step`. */
function needsExhausted(
  state: FillState,
  untilExhausted: Resources,
  step: number,
) {
  const { wanted } = state.input;
  const limit = step + EPSILON;
  return (wanted.cpuMillis > 0 && untilExhausted.cpuMillis <= limit) ||
    (wanted.memoryMb > 0 && untilExhausted.memoryMb <= limit) ||
    (wanted.accelerators > 0 && untilExhausted.accelerators <= limit) ||
    (wanted.slots > 0 && untilExhausted.slots <= limit);
}

/** For each resource, how far shares per weight rise until it is exhausted. */
function timesUntilExhausted(
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

/** The resources that a team uses when its dominant share is `share`. */
function amountAt(state: FillState, share: number): Resources {
  const { input, wantedShare } = state;
  return wantedShare > 0
    ? scaleResources(input.wanted, share / wantedShare)
    : NO_RESOURCES;
}

function sum(amounts: readonly Resources[]): Resources {
  return amounts.reduce(addResources, NO_RESOURCES);
}
