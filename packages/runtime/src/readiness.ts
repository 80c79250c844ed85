/**
 * Records whether a planned stop has begun. From then on the readiness probe
 * fails; new calls are refused only after the drain delay.
 *
 * @example
 * ```ts
 * const readiness = new Readiness();
 * await runNode({ identity, performers, logger, readiness });
 * ```
 */
export class Readiness {
  #isDraining = false;

  /** Whether the process has received a stop signal. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Records that a planned stop has begun. */
  drain(): void {
    this.#isDraining = true;
  }
}
