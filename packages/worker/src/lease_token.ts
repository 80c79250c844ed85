/** What a lease token says: when, and by which start of a worker, it was made. */
export interface LeaseToken {
  readonly incarnation: string;
  /** The worker's time in milliseconds. */
  readonly madeMs: number;
  /** Sequence of the answer that carried the token. */
  readonly stateSeq: number;
}

const TOKEN_PATTERN = /^([^:]+):(\d+):(.+)$/;

/**
 * Encodes a token.
 *
 * @example
 * ```ts
 * formatLeaseToken({ incarnation: "a-1", madeMs: 250, stateSeq: 4 });
 * // "250:4:a-1"
 * ```
 */
export function formatLeaseToken(token: LeaseToken): string {
  return `${token.madeMs}:${token.stateSeq}:${token.incarnation}`;
}

/**
 * Decodes a token; undefined when it is malformed.
 *
 * @example
 * ```ts
 * const madeMs = parseLeaseToken(call.leaseToken ?? "")?.madeMs;
 * ```
 */
export function parseLeaseToken(text: string): LeaseToken | undefined {
  const match = TOKEN_PATTERN.exec(text);
  if (match === null) {
    return undefined;
  }
  return {
    incarnation: match[3]!,
    madeMs: Number(match[1]),
    stateSeq: Number(match[2]),
  };
}
