import { Kernel } from "@mustardweir/kernel";
import {
  EndReason,
  JobKind,
  jobSpecSchema,
  JobState,
  Outcome,
} from "@mustardweir/model";
import { expect } from "chai";
import { explainWait } from "./explain.ts";
import { type Home, type HomeJob, TaskState } from "./home_state.ts";
import { createJob } from "./job_factory.ts";
import { describeJob } from "./status.ts";

interface ExplainCase {
  readonly name: string;
  readonly task: TaskState;
  readonly job: Partial<HomeJob>;
  readonly state: JobState;
  readonly explanation: string | undefined;
}

const ENDED = { outcome: Outcome.NotRun, reason: EndReason.Cancelled };

const EXPLAIN_CASES: readonly ExplainCase[] = [
  {
    name: "whose acceptance is not recorded yet",
    task: TaskState.Pending,
    job: { accepted: false },
    state: JobState.Waiting,
    explanation: "The acceptance is being recorded",
  },
  {
    name: "that runs",
    task: TaskState.Started,
    job: { accepted: true },
    state: JobState.Running,
    explanation: undefined,
  },
  {
    name: "whose end is not recorded yet",
    task: TaskState.Ended,
    job: { ...ENDED, accepted: true },
    state: JobState.Waiting,
    explanation: "Its end is being recorded",
  },
  {
    name: "whose end is recorded",
    task: TaskState.Ended,
    job: { ...ENDED, accepted: true, endRecorded: true },
    state: JobState.Ended,
    explanation: undefined,
  },
];

describe("Explanation of a job", () => {
  for (const { name, task, job, state, explanation } of EXPLAIN_CASES) {
    it(name, () => {
      const status = describeWith(task, job);
      expect([status.state, status.explanation])
        .to.deep.equal([state, explanation]);
    });
  }
});

function describeWith(task: TaskState, fields: Partial<HomeJob>) {
  const kind = JobKind.Batch;
  const spec = jobSpecSchema.parse({ kind, cpu: 1, memoryMb: 1 });
  const job = createJob({ jobId: "a.1", spec, specHash: "", now: 0 });
  Object.assign(job, fields);
  job.tasks[0]!.state = task;
  let explanation: string | undefined;
  new Kernel().update(0, (update) => {
    explanation = explainWait(update, {} as Home, job);
  });
  return describeJob(job, { team: "a", explanation });
}
