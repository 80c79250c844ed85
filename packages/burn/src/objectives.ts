import type { JobKind, Objective, Rules } from "@mustardweir/model";

/** Names the work that an objective is for. */
export interface SeriesName {
  readonly team: string;
  readonly kind: JobKind;
}

/** The objective of a team's work of one kind, if the rules have one. */
export function findObjective(
  { objectives }: Rules,
  { team, kind }: SeriesName,
): Objective | undefined {
  return objectives.find((o) => o.team === team && o.kind === kind);
}

/** The longest wait that is in time; without an objective every one is. */
export function limitOf(rules: Rules, name: SeriesName): number {
  return findObjective(rules, name)?.startWithinMs ?? Infinity;
}
