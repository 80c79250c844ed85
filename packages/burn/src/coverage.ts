import type { BurnGap, BurnSpan } from "@mustardweir/protocol";

/** Shorter gaps are the usual time of a hand-over, in milliseconds. */
const MIN_GAP_MS = 10_000;

/** A stretch of time by its ages, in milliseconds; `from` is older. */
interface Stretch {
  readonly fromAgeMs: number;
  readonly toAgeMs: number;
}

/**
 * The times up to `lengthMs` ago of which no span has a record, oldest first.
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
  let edge = options.lengthMs;
  for (const { fromAgeMs, toAgeMs } of joinSpans(team, options.spans)) {
    if (fromAgeMs < edge) {
      gaps.push({ team, fromAgeMs: edge, toAgeMs: fromAgeMs });
    }
    edge = Math.min(edge, toAgeMs);
  }
  gaps.push({ team, fromAgeMs: edge, toAgeMs: 0 });
  return gaps.filter((gap) => gap.fromAgeMs - gap.toAgeMs > MIN_GAP_MS);
}

/**
 * The part of the last `lengthMs` of which there is a record.
 *
 * @example
 * ```ts
 * const covered = coveredPart("search", { spans, lengthMs: 3_600_000 });
 * ```
 */
export function coveredPart(
  team: string,
  options: { readonly spans: readonly BurnSpan[]; readonly lengthMs: number },
): number {
  const missing = findGaps(team, options).reduce(
    (sum, { fromAgeMs, toAgeMs }) => sum + fromAgeMs - toAgeMs,
    0,
  );
  return 1 - missing / options.lengthMs;
}

/** Spans of a team that touch or overlap made one, oldest first. */
function joinSpans(team: string, spans: readonly BurnSpan[]): Stretch[] {
  const joined: Stretch[] = [];
  const own = spans.filter((span) => span.team === team)
    .sort((a, b) => b.fromAgeMs - a.fromAgeMs);
  for (const { fromAgeMs, toAgeMs } of own) {
    const last = joined.at(-1);
    if (last !== undefined && fromAgeMs >= last.toAgeMs) {
      joined.pop();
      joined.push({
        fromAgeMs: last.fromAgeMs,
        toAgeMs: Math.min(last.toAgeMs, toAgeMs),
      });
    } else {
      joined.push({ fromAgeMs, toAgeMs });
    }
  }
  return joined;
}
