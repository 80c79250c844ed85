import type { DemoJob, JobStory, MatchedRun } from "@mustardweir/demo";
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
import { judge, type Verdict } from "./verdict.ts";

interface VerdictCase {
  readonly name: string;
  /** False: the job must not run twice. */
  readonly idempotent?: boolean;
  /** What the submitter was told; accepted and done by default. */
  readonly told?: Partial<JobStory>;
  readonly status?: Partial<JobStatus>;
  /** Starts and ends of its runs in milliseconds; one whole by default. */
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
    name: "done with a run that was lost",
    runs: [[0, 10, EndReason.Lost]],
    faults: ["lost"],
  },
  {
    name: "run again after a loss",
    runs: [
      [0, 10, EndReason.Lost],
      WHOLE.map((ms) => ms + 20) as [number, number],
    ],
    faults: [],
  },
  {
    name: "two attempts at once",
    runs: [[0, 10, EndReason.Lost], [5, 15]],
    faults: ["doubled"],
  },
  {
    name: "run twice though it must not be",
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
  { name: "told not run", status: NOT_RUN, runs: [], faults: [] },
  { name: "told not run of what ran", status: NOT_RUN, faults: ["untrue"] },
  {
    name: "told unknown of what must not run twice",
    idempotent: false,
    status: UNKNOWN,
    faults: [],
  },
  {
    name: "told unknown of what may run again",
    status: UNKNOWN,
    faults: ["untrue"],
  },
  { name: "refused for good", told: REFUSED, runs: [], faults: ["lost"] },
  {
    name: "refused as not run though it ran",
    told: REFUSED,
    faults: ["lost", "untrue"],
  },
  {
    name: "the answer of another request",
    status: { answer: "request-other" },
    faults: ["crossed"],
  },
];

function makeStory(job: DemoJob, { told, status }: VerdictCase): JobStory {
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
    ...told,
  };
}

function makeRuns(
  story: JobStory,
  { runs = [WHOLE] }: VerdictCase,
): MatchedRun[] {
  return runs.map(([startedMs, endedMs, reason], index) => ({
    instanceId: "zone-a-1",
    taskId: `${jobIdOf(story)}#0.1.${index}`,
    jobId: jobIdOf(story),
    team: story.job.team,
    startedMs,
    endedMs,
    reason: reason ?? EndReason.Completed,
    story,
  }));
}

describe("judge", () => {
  for (const test of CASES) {
    it(test.name, () => {
      const { idempotent = true, faults } = test;
      const job = makeRequest({ name: "one", runMs: 10, idempotent });
      const story = makeStory(job, test);
      const runs = makeRuns(story, test);
      const verdict = judge({ fleet: FLEET, stories: [story], runs });
      const found = Object.entries(verdict)
        .filter(([, names]) => names.length > 0).map(([kind]) => kind);
      expect(found).to.have.members(faults);
    });
  }
});
