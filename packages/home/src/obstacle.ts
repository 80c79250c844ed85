import { type Ceiling, JobKind, scaleResources } from "@mustardweir/model";
import { isWithinCeiling } from "./ceiling.ts";
import type { HomeJob } from "./home_state.ts";

/**
 * Why a job can never run under its team's ceiling, which may have been
 * lowered since the job was accepted; undefined when it may.
 *
 * @example
 * ```ts
 * const obstacle = findCeilingObstacle(job, rule.ceiling);
 * ```
 */
export function findCeilingObstacle(
  { spec, size }: Pick<HomeJob, "spec" | "size">,
  ceiling: Ceiling,
): string | undefined {
  if (!isWithinCeiling(size, ceiling)) {
    return "It can never run: one task needs more than the team's ceiling";
  }
  const isWhole = spec.kind === JobKind.Gang;
  if (isWhole && !isWithinCeiling(scaleResources(size, spec.tasks), ceiling)) {
    return "It can never run: the gang needs more than the team's ceiling";
  }
  return undefined;
}
