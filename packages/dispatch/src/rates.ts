/** Time that a team may save up its rate for, in seconds. */
const SAVED_S = 2;
/** Jobs that a team may always hand in at once. */
const MIN_BURST = 2;

interface Allowance {
  jobs: number;
  atMs: number;
}

/** Tells which jobs of a team are beyond the rate that it is entitled to. */
export class RateMeter {
  readonly #byTeam = new Map<string, Allowance>();

  /** Counts a job; true when it is beyond the team's rate. */
  isExcess(
    team: string,
    { jobsPerS, acceptedMs }: {
      /** 0 for no limit. */
      readonly jobsPerS: number;
      readonly acceptedMs: number;
    },
  ): boolean {
    if (jobsPerS <= 0) {
      return false;
    }
    const most = Math.max(MIN_BURST, jobsPerS * SAVED_S);
    const known = this.#byTeam.get(team) ?? { jobs: most, atMs: acceptedMs };
    const savedMs = Math.max(0, acceptedMs - known.atMs);
    const jobs = Math.min(most, known.jobs + savedMs * jobsPerS / 1_000);
    const isExcess = jobs < 1;
    this.#byTeam.set(team, {
      jobs: isExcess ? jobs : jobs - 1,
      atMs: Math.max(known.atMs, acceptedMs),
    });
    return isExcess;
  }

  /** Forgets everything, for a new tenure. */
  clear(): void {
    this.#byTeam.clear();
  }
}
