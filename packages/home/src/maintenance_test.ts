import { createStateKey, Kernel } from "@mustardweir/kernel";
import { JobKind, jobSpecSchema } from "@mustardweir/model";
import { expect } from "chai";
import { EvictedJobIds } from "./evicted_job_ids.ts";
import type { Home } from "./home_state.ts";
import { createJob, jobIdOf } from "./job_factory.ts";
import { evictEndedJobs } from "./maintenance.ts";

interface EvictionCase {
  readonly name: string;
  readonly ended: number;
  readonly idempotent: boolean;
  /** Time since the jobs ended, in milliseconds. */
  readonly ageMs: number;
  readonly kept: number;
  /** Whether the first job, or at least its id, is still kept. */
  readonly known: boolean;
}

const EVICTION_CASES: readonly EvictionCase[] = [
  {
    name: "are kept up to the limit",
    ended: 10,
    idempotent: true,
    ageMs: 1_000,
    kept: 10,
    known: true,
  },
  {
    name: "leave their id when evicted early, above the limit",
    ended: 5_010,
    idempotent: true,
    ageMs: 1_000,
    kept: 5_000,
    known: true,
  },
  {
    name: "are kept above the limit if they must not run twice",
    ended: 5_010,
    idempotent: false,
    ageMs: 1_000,
    kept: 5_010,
    known: true,
  },
  {
    name: "are evicted after the retention time",
    ended: 10,
    idempotent: false,
    ageMs: 700_000,
    kept: 0,
    known: false,
  },
];

describe("Ended jobs", () => {
  for (
    const { name, ended, idempotent, ageMs, kept, known } of EVICTION_CASES
  ) {
    it(name, () => {
      const home = createHome(ended, idempotent);
      const kernel = new Kernel();
      kernel.registerState(createStateKey("none"), {});
      kernel.update(ageMs, (update) => evictEndedJobs(update, home));
      expect(home.jobs.size).to.equal(kept);
      const first = jobIdOf("a", "0");
      expect(home.jobs.has(first) || home.evicted.mayContain(first, ageMs))
        .to.equal(known);
    });
  }
});

function createHome(ended: number, idempotent: boolean): Home {
  const kind = JobKind.Request;
  const spec = jobSpecSchema.parse({ kind, cpu: 1, memoryMb: 1, idempotent });
  const jobs = Array.from({ length: ended }, (_, index) => {
    const jobId = jobIdOf("a", String(index));
    const job = createJob({ jobId, spec, specHash: "", now: 0 });
    return [jobId, { ...job, endRecorded: true, endedAt: 0 }] as const;
  });
  return { jobs: new Map(jobs), evicted: new EvictedJobIds() } as Home;
}
