import { type Ceiling, JobKind, scaleResources } from "@mustardweir/model";
import { isWithinCeiling } from "./ceiling.ts";
import type { HomeJob } from "./home_state.ts";

/**
 * Returns why a job can never run under its team's ceiling, which may have been
 * lowered since the job was accepted; undefined if it can run.
 *
 * @example
 * ```ts
 * const reason = findCeilingInfeasibility(job, rule.ceiling);
 * ```
 */
export function findCeilingInfeasibility(
  { spec, size }: Pick<HomeJob, "spec" | "size">,
  ceiling: Ceiling,
): string | undefined {
  if (!isWithinCeiling(size, ceiling)) {
    return "It can never run: one task needs more than the team's ceiling";
  }
  const isGang = spec.kind === JobKind.Gang;
  if (isGang && !isWithinCeiling(scaleResources(size, spec.tasks), ceiling)) {
    return "It can never run: the gang needs more than the team's ceiling";
  }
  return undefined;
}
