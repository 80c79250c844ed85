/** Time constant of the moving average of ends, in milliseconds. */
const AVERAGED_MS = 1_000;

/** Ends of attempts per second, as an exponentially decaying average. */
export class EndRate {
  #sum = 0;
  #updatedMs = 0;

  /** Counts ends that a listing has reported. */
  add(ends: number, now: number): void {
    this.#sum = this.perS(now) * AVERAGED_MS / 1_000 + ends;
    this.#updatedMs = now;
  }

  /** Returns the average number of ends per second. */
  perS(now: number): number {
    const ageMs = Math.max(0, now - this.#updatedMs);
    return this.#sum * Math.exp(-ageMs / AVERAGED_MS) * 1_000 / AVERAGED_MS;
  }
}

/** What the pace of renewals follows from. */
export interface RenewalLoad {
  /** Ends of attempts on all workers per second. */
  readonly endsPerS: number;
  /** Processor cores of this node; undefined without a limit. */
  readonly cores: number | undefined;
}

/** Decides how soon a worker that has replied is asked again. */
export abstract class RenewalPacing {
  /** Returns the shortest time from a reply to the next renewal, in ms. */
  abstract gapMs(load: RenewalLoad): number;
}

/** Asks again at once, so that each end is read as soon as possible. */
export class Unpaced extends RenewalPacing {
  override gapMs(): number {
    return 0;
  }
}

/** Ends per second and core up to which workers are asked again at once. */
const UNPACED_ENDS_PER_S = 350;
/** Ends per second and core from which the longest gap is kept. */
const FULLY_PACED_ENDS_PER_S = 900;
/**
 * Longest gap, in milliseconds. Room that a task leaves stays unused for half of
 * it on average, 4% of a task of 0.7 s.
 */
export const MAX_GAP_MS = 60;

/**
 * Leaves a gap while so many attempts end that exchanges with workers fill the
 * owner's processor: ends that fall into it share one reply and one renewal.
 *
 * @example
 * ```ts
 * const gapMs = new PacedByEnds().gapMs({ endsPerS: 1_600, cores: 1.35 });
 * ```
 */
export class PacedByEnds extends RenewalPacing {
  override gapMs({ endsPerS, cores }: RenewalLoad): number {
    if (cores === undefined) {
      return 0;
    }
    const excess = (endsPerS / cores - UNPACED_ENDS_PER_S) /
      (FULLY_PACED_ENDS_PER_S - UNPACED_ENDS_PER_S);
    return Math.round(MAX_GAP_MS * Math.min(Math.max(excess, 0), 1));
  }
}
