import type { JobKind, Objective, Rules } from "@mustardweir/model";

/** The team and kind of the jobs that an objective or a series covers. */
export interface SeriesName {
  readonly team: string;
  readonly kind: JobKind;
}

/**
 * Returns the objective for a team's jobs of one kind, if the rules have one.
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
 * Returns the longest wait before the start that meets the objective, in
 * milliseconds; Infinity without an objective.
 *
 * @example
 * ```ts
 * const isLate = waitMs > findStartLimitMs(rules, { team, kind });
 * ```
 */
export function findStartLimitMs(rules: Rules, name: SeriesName): number {
  return findObjective(rules, name)?.startWithinMs ?? Infinity;
}
