import { randomBytes } from "node:crypto";

const INCARNATION_BYTES = 8;

/**
 * Creates a random id for one start of a process, unique among all starts.
 *
 * @example
 * ```ts
 * createIncarnation(); // "9f1c3a5b7d2e4f60"
 * ```
 */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString("hex");
}
