import type { DemoJob, MatchedRun, SubmittedJob } from "@mustardweir/demo";
import { jobIdOf } from "@mustardweir/demo";
import {
  EndReason,
  JobState,
  type JobStatus,
  Outcome,
} from "@mustardweir/model";
import { expect } from "chai";
import { FLEET } from "./fleet.ts";
import { expectedAnswer, makeRequest } from "./load.ts";
import { computeVerdict, type Verdict } from "./verdict.ts";

interface VerdictCase {
  readonly name: string;
  /** Whether the job may run more than once; true by default. */
  readonly idempotent?: boolean;
  /** The result that the submitter received; accepted and done by default. */
  readonly reported?: Partial<SubmittedJob>;
  readonly status?: Partial<JobStatus>;
  /** Start and end of each run, in milliseconds; one full run by default. */
  readonly runs?: readonly (readonly [number, number, EndReason?])[];
  readonly faults: readonly (keyof Verdict)[];
}

const WHOLE = [0, 10] as const;
const NOT_RUN = {
  outcome: Outcome.NotRun,
  reason: EndReason.DeadlinePassed,
};
const UNKNOWN = { outcome: Outcome.Unknown, reason: EndReason.Lost };
const REFUSED = {
  accepted: false,
  status: undefined,
  refusal: "overloaded",
  refusedOutcome: Outcome.NotRun,
};

const CASES: readonly VerdictCase[] = [
  { name: "done and run once", faults: [] },
  { name: "done without a run", runs: [], faults: ["lost"] },
  {
    name: "done with a lost run only",
    runs: [[0, 10, EndReason.Lost]],
    faults: ["lost"],
  },
  {
    name: "run again after a lost run",
    runs: [
      [0, 10, EndReason.Lost],
      WHOLE.map((ms) => ms + 20) as [number, number],
    ],
    faults: [],
  },
  {
    name: "two overlapping attempts",
    runs: [[0, 10, EndReason.Lost], [5, 15]],
    faults: ["doubled"],
  },
  {
    name: "not idempotent and run twice",
    idempotent: false,
    runs: [[0, 10, EndReason.Lost], [20, 30]],
    faults: ["doubled"],
  },
  {
    name: "accepted and not ended",
    status: { state: JobState.Waiting },
    runs: [],
    faults: ["lost"],
  },
  { name: "reported not run", status: NOT_RUN, runs: [], faults: [] },
  { name: "reported not run but ran", status: NOT_RUN, faults: ["untrue"] },
  {
    name: "reported unknown, not idempotent",
    idempotent: false,
    status: UNKNOWN,
    faults: [],
  },
  {
    name: "reported unknown though idempotent",
    status: UNKNOWN,
    faults: ["untrue"],
  },
  { name: "refused in the end", reported: REFUSED, runs: [], faults: ["lost"] },
  {
    name: "refused as not run but ran",
    reported: REFUSED,
    faults: ["lost", "untrue"],
  },
  {
    name: "the answer of another request",
    status: { answer: "request-other" },
    faults: ["crossed"],
  },
];

function makeSubmittedJob(
  job: DemoJob,
  { reported, status }: VerdictCase,
): SubmittedJob {
  const jobId = jobIdOf({ job });
  return {
    job,
    accepted: true,
    status: {
      jobId,
      state: JobState.Ended,
      outcome: Outcome.Done,
      reason: EndReason.Completed,
      answer: expectedAnswer(job),
      ...status,
    } as JobStatus,
    refusal: undefined,
    refusedOutcome: undefined,
    unclear: false,
    ...reported,
  };
}

function makeRuns(
  submitted: SubmittedJob,
  { runs = [WHOLE] }: VerdictCase,
): MatchedRun[] {
  return runs.map(([startedMs, endedMs, reason], index) => ({
    instanceId: "zone-a-1",
    taskId: `${jobIdOf(submitted)}#0.1.${index}`,
    jobId: jobIdOf(submitted),
    team: submitted.job.team,
    startedMs,
    endedMs,
    reason: reason ?? EndReason.Completed,
    submitted,
  }));
}

describe("computeVerdict", () => {
  for (const test of CASES) {
    it(test.name, () => {
      const { idempotent = true, faults } = test;
      const job = makeRequest({ name: "one", runMs: 10, idempotent });
      const submitted = makeSubmittedJob(job, test);
      const runs = makeRuns(submitted, test);
      const verdict = computeVerdict({
        fleet: FLEET,
        stories: [submitted],
        runs,
      });
      const found = Object.entries(verdict)
        .filter(([, names]) => names.length > 0).map(([kind]) => kind);
      expect(found).to.have.members(faults);
    });
  }
});
