/** The contents of a lease token. */
export interface LeaseToken {
  /** The incarnation of the worker that created the token. */
  readonly incarnation: string;
  /** When the token was created, in milliseconds of the worker's clock. */
  readonly createdMs: number;
  /** State sequence number of the reply that carried the token. */
  readonly stateSeq: number;
}

const TOKEN_PATTERN = /^([^:]+):(\d+):(.+)$/;

/**
 * Encodes a token.
 *
 * @example
 * ```ts
 * formatLeaseToken({ incarnation: "a-1", createdMs: 250, stateSeq: 4 });
 * // "250:4:a-1"
 * ```
 */
export function formatLeaseToken(token: LeaseToken): string {
  return `${token.createdMs}:${token.stateSeq}:${token.incarnation}`;
}

/**
 * Decodes a token; returns undefined when it is malformed.
 *
 * @example
 * ```ts
 * const token = parseLeaseToken(call.leaseToken ?? "");
 * ```
 */
export function parseLeaseToken(text: string): LeaseToken | undefined {
  const match = TOKEN_PATTERN.exec(text);
  if (match === null) {
    return undefined;
  }
  return {
    incarnation: match[3]!,
    createdMs: Number(match[1]),
    stateSeq: Number(match[2]),
  };
}
