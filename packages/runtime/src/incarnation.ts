import { randomBytes } from "node:crypto";

const INCARNATION_BYTES = 8;

/**
 * A name for this start of the process that no other start has.
 *
 * @example
 * ```ts
 * createIncarnation(); // "9f1c3a5b7d2e4f60"
 * ```
 */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString("hex");
}
