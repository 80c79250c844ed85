/** Thrown on a programming error, never because of invalid input. */
export class InvariantError extends Error {
  override readonly name = "InvariantError";
}

/**
 * Throws an {@link InvariantError} when `condition` is false.
 *
 * @example
 * ```ts
 * invariant(free >= 0, `instance ${id} has negative free capacity`);
 * ```
 */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) {
    throw new InvariantError(message);
  }
}
