/**
 * Whether a planned stop has begun. Readiness goes off with it, some time
 * before new calls are refused.
 *
 * @example
 * ```ts
 * const readiness = new Readiness();
 * await runNode({ identity, performers, logger, readiness });
 * ```
 */
export class Readiness {
  #isDraining = false;

  /** True once the process was told to stop. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Notes that a planned stop has begun. */
  drain(): void {
    this.#isDraining = true;
  }
}
