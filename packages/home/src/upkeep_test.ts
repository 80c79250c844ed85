import { createStateKey, Kernel } from "@mustardweir/kernel";
import { JobKind, jobSpecSchema } from "@mustardweir/model";
import { expect } from "chai";
import { ForgottenIds } from "./forgotten_ids.ts";
import type { Home } from "./home_state.ts";
import { createJob, jobIdOf } from "./job_factory.ts";
import { forgetEnded } from "./upkeep.ts";

interface ForgetCase {
  readonly name: string;
  readonly ended: number;
  readonly idempotent: boolean;
  /** Time since the ends, in milliseconds. */
  readonly ageMs: number;
  readonly kept: number;
  /** The first job is known to have been there. */
  readonly known: boolean;
}

const FORGET_CASES: readonly ForgetCase[] = [
  {
    name: "keeps few ended jobs",
    ended: 10,
    idempotent: true,
    ageMs: 1_000,
    kept: 10,
    known: true,
  },
  {
    name: "remembers the ids of young jobs that are too many",
    ended: 5_010,
    idempotent: true,
    ageMs: 1_000,
    kept: 5_000,
    known: true,
  },
  {
    name: "keeps young jobs that must not run twice, however many",
    ended: 5_010,
    idempotent: false,
    ageMs: 1_000,
    kept: 5_010,
    known: true,
  },
  {
    name: "forgets old jobs",
    ended: 10,
    idempotent: false,
    ageMs: 700_000,
    kept: 0,
    known: false,
  },
];

describe("Ended jobs", () => {
  for (const { name, ended, idempotent, ageMs, kept, known } of FORGET_CASES) {
    it(name, () => {
      const home = createHome(ended, idempotent);
      const kernel = new Kernel();
      kernel.registerState(createStateKey("none"), {});
      kernel.update(ageMs, (update) => forgetEnded(update, home));
      expect(home.jobs.size).to.equal(kept);
      const first = jobIdOf("a", "0");
      expect(home.jobs.has(first) || home.forgotten.mayHave(first, ageMs))
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
  return { jobs: new Map(jobs), forgotten: new ForgottenIds() } as Home;
}
