import { randomBytes } from "node:crypto";

const INCARNATION_BYTES = 8;

/** A name for this start of the process that no other start has. */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString("hex");
}
