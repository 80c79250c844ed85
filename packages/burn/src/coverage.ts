import type { BurnGap, BurnSpan } from "@mustardweir/protocol";

/**
 * Gaps up to this length are not reported: they are the usual time that a
 * change of the home's owner takes. In milliseconds.
 */
const MIN_GAP_MS = 10_000;

/** A period given by ages in milliseconds; `fromAgeMs` is the older end. */
interface AgeRange {
  readonly fromAgeMs: number;
  readonly toAgeMs: number;
}

/**
 * Returns the periods within the last `lengthMs` milliseconds that no span of
 * the team covers, oldest first.
 *
 * @example
 * ```ts
 * const gaps = findGaps("storefront", { spans, lengthMs: 3_600_000 });
 * ```
 */
export function findGaps(
  team: string,
  options: { readonly spans: readonly BurnSpan[]; readonly lengthMs: number },
): BurnGap[] {
  const gaps: BurnGap[] = [];
  let gapFromAgeMs = options.lengthMs;
  for (const { fromAgeMs, toAgeMs } of mergeSpans(team, options.spans)) {
    if (fromAgeMs < gapFromAgeMs) {
      gaps.push({ team, fromAgeMs: gapFromAgeMs, toAgeMs: fromAgeMs });
    }
    gapFromAgeMs = Math.min(gapFromAgeMs, toAgeMs);
  }
  gaps.push({ team, fromAgeMs: gapFromAgeMs, toAgeMs: 0 });
  return gaps.filter((gap) => gap.fromAgeMs - gap.toAgeMs > MIN_GAP_MS);
}

/**
 * Returns the fraction of the last `lengthMs` milliseconds that spans of the
 * team cover; gaps too short to be reported count as covered.
 *
 * @example
 * ```ts
 * const covered = computeCoverage("search", { spans, lengthMs: 3_600_000 });
 * ```
 */
export function computeCoverage(
  team: string,
  options: { readonly spans: readonly BurnSpan[]; readonly lengthMs: number },
): number {
  const missing = findGaps(team, options).reduce(
    (sum, { fromAgeMs, toAgeMs }) => sum + fromAgeMs - toAgeMs,
    0,
  );
  return 1 - missing / options.lengthMs;
}

/** Merges spans of a team that touch or overlap; returns the oldest first. */
function mergeSpans(team: string, spans: readonly BurnSpan[]): AgeRange[] {
  const merged: AgeRange[] = [];
  const own = spans.filter((span) => span.team === team)
    .sort((a, b) => b.fromAgeMs - a.fromAgeMs);
  for (const { fromAgeMs, toAgeMs } of own) {
    const last = merged.at(-1);
    if (last !== undefined && fromAgeMs >= last.toAgeMs) {
      merged.pop();
      merged.push({
        fromAgeMs: last.fromAgeMs,
        toAgeMs: Math.min(last.toAgeMs, toAgeMs),
      });
    } else {
      merged.push({ fromAgeMs, toAgeMs });
    }
  }
  return merged;
}
