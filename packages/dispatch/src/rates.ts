/** Time over which a team's unused rate accumulates, in seconds. */
const BURST_S = 2;
/** Number of jobs that a team may always submit at once. */
const MIN_BURST = 2;

interface JobBucket {
  jobs: number;
  atMs: number;
}

/** Token buckets that identify jobs beyond their team's entitled rate. */
export class RateMeter {
  readonly #byTeam = new Map<string, JobBucket>();

  /** Counts a job; returns whether it is beyond the team's rate. */
  isOverRate(
    team: string,
    { jobsPerS, acceptedMs }: {
      /** Entitled rate; 0 for no limit. */
      readonly jobsPerS: number;
      readonly acceptedMs: number;
    },
  ): boolean {
    if (jobsPerS <= 0) {
      return false;
    }
    const most = Math.max(MIN_BURST, jobsPerS * BURST_S);
    const known = this.#byTeam.get(team) ?? { jobs: most, atMs: acceptedMs };
    const elapsedMs = Math.max(0, acceptedMs - known.atMs);
    const jobs = Math.min(most, known.jobs + elapsedMs * jobsPerS / 1_000);
    const isOverRate = jobs < 1;
    this.#byTeam.set(team, {
      jobs: isOverRate ? jobs : jobs - 1,
      atMs: Math.max(known.atMs, acceptedMs),
    });
    return isOverRate;
  }

  /** Clears all buckets, for a new tenure. */
  clear(): void {
    this.#byTeam.clear();
  }
}
