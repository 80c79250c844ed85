/**
 * Smallest difference that counts, in milliseconds: the time of day is adjusted
 * by less while a machine runs.
 */
const MIN_SUSPENSION_MS = 500;

/** Readings of both clocks of a machine, in milliseconds. */
export interface ClockReadings {
  /** The steady clock, which stands still while the machine is suspended. */
  readonly steadyMs: number;
  /** The time of day, which goes on. */
  readonly unixMs: number;
}

/**
 * Finds suspensions of the machine, which the steady clock doesn't count. A jump
 * of the time of day looks the same; who acts on a suspension has to bear that.
 *
 * @example
 * ```ts
 * const meter = new SuspensionMeter();
 * meter.measure({ steadyMs: performance.now(), unixMs: Date.now() });
 * ```
 */
export class SuspensionMeter {
  #last: ClockReadings | undefined;

  /**
   * Returns for how long the machine was suspended since the last call, in
   * milliseconds; 0 if it was not, and at the first call.
   */
  measure(readings: ClockReadings): number {
    const last = this.#last ?? readings;
    this.#last = readings;
    const excessMs = (readings.unixMs - last.unixMs) -
      (readings.steadyMs - last.steadyMs);
    return excessMs >= MIN_SUSPENSION_MS ? excessMs : 0;
  }
}
