import type { JobKind, Objective, Rules } from "@mustardweir/model";

/** Names the work that an objective is for. */
export interface SeriesName {
  readonly team: string;
  readonly kind: JobKind;
}

/**
 * The objective of a team's work of one kind, if the rules have one.
 *
 * @example
 * ```ts
 * const target = findObjective(rules, { team, kind })?.target;
 * ```
 */
export function findObjective(
  { objectives }: Rules,
  { team, kind }: SeriesName,
): Objective | undefined {
  return objectives.find((o) => o.team === team && o.kind === kind);
}

/**
 * The longest wait that is in time; without an objective every one is.
 *
 * @example
 * ```ts
 * const isLate = waitMs > limitOf(rules, { team, kind });
 * ```
 */
export function limitOf(rules: Rules, name: SeriesName): number {
  return findObjective(rules, name)?.startWithinMs ?? Infinity;
}
